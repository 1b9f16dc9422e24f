// A bound on the workers of one service, pool or rack that may be out at once.
#pragma once

#include "fleet/fleetdocument.h"
#include "global/ids.h"
#include "maintenance/wavesettings.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::maintenance {

struct Budget
{
    // Names the ledger: "service.<id>", "pool.<id>" or "rack.<id>".
    std::string name;
    // By maintenance and failure together.
    unsigned maxOut = 1;
    std::vector<WorkerId> members;
};

// The budgets of a fleet and, for each worker, the indexes of those it touches.
struct BudgetTable
{
    std::vector<Budget> budgets;
    std::unordered_map<WorkerId, std::vector<std::size_t>> touched;
};

// Every service bounds the workers of its pool. A pool without a service loses at most a quarter
// of its workers at once, and at least one. Racks are bounded when the wave asks for it.
BudgetTable budgetsOf(const fleet::FleetDocument &fleet, const WaveSettings &settings);

} // namespace cyclamenlatch::maintenance
