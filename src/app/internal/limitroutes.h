// The operators' routes on limits and on the entries that hold units of them.
#pragma once

#include "app/internal/fleetkeeping.h"
#include "membership/membership.h"
#include "operatorapi/operatorapi.h"
#include "quota/limitsurvey.h"
#include "quota/quotatable.h"

namespace cyclamenlatch::app::detail {

// GET /v1/limits, GET /v1/entries and POST /v1/entries/gone, whose word both the limits and the
// waves take. All must outlive the api's server.
void addLimitRoutes(operatorapi::OperatorApi &api, quota::QuotaTable &quotas,
                    quota::LimitSurvey &survey, const membership::Membership &membership,
                    FleetKeeping &fleetKeeping);

} // namespace cyclamenlatch::app::detail
