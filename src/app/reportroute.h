// The operators' route of the burn report: GET /v1/report?output=text|json|html.
#pragma once

#include "operatorapi/operatorapi.h"
#include "quota/quotatable.h"
#include "report/reportservice.h"

namespace cyclamenlatch::app {

void addReportRoute(operatorapi::OperatorApi &api, report::ReportService &service,
                    quota::QuotaTable &quota);

} // namespace cyclamenlatch::app
