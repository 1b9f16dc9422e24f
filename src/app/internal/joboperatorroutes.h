// The operators' routes about jobs.
#pragma once

#include "jobs/jobdesk.h"
#include "operatorapi/operatorapi.h"

namespace cyclamenlatch::app::detail {

void addJobOperatorRoutes(operatorapi::OperatorApi &api, jobs::JobDesk &desk);

} // namespace cyclamenlatch::app::detail
