// Renders a report: text for terminals, JSON for programs, and one HTML page that needs nothing
// from outside.
#pragma once

#include "report/fleetreport.h"

#include <string>

namespace cyclamenlatch::report {

std::string renderText(const FleetReport &report);
std::string renderJson(const FleetReport &report);
std::string renderHtml(const FleetReport &report);

} // namespace cyclamenlatch::report
