// Derives the budgets of a wave from the fleet document.
#include "maintenance/budget.h"

#include <algorithm>
#include <map>
#include <set>

namespace cyclamenlatch::maintenance {

namespace {

// A pool that no service speaks for keeps three quarters of its workers.
constexpr std::size_t unservedPoolDivisor = 4;

unsigned withoutReserve(unsigned maxOut, unsigned reserve)
{
    return maxOut > reserve ? maxOut - reserve : std::min(maxOut, 1U);
}

} // namespace

BudgetTable budgetsOf(const fleet::FleetDocument &fleet, const WaveSettings &settings)
{
    BudgetTable table;
    std::map<PoolId, std::vector<WorkerId>> byPool;
    std::map<RackId, std::vector<WorkerId>> byRack;
    for (const auto &worker : fleet.workers) {
        byPool[worker.pool].push_back(worker.id);
        byRack[worker.rack].push_back(worker.id);
    }
    std::set<PoolId> served;
    for (const auto &service : fleet.services) {
        served.insert(service.pool);
        table.budgets.push_back({"service." + service.id.value(),
                                 withoutReserve(service.maxUnavailable, settings.reserve),
                                 byPool[service.pool]});
    }
    for (const auto &[pool, members] : byPool) {
        if (!served.contains(pool)) {
            const auto most = std::max<std::size_t>(1, members.size() / unservedPoolDivisor);
            table.budgets.push_back({"pool." + pool.value(), static_cast<unsigned>(most), members});
        }
    }
    for (const auto &[rack, members] : byRack) {
        if (settings.perRack > 0 && !rack.empty()) {
            table.budgets.push_back({"rack." + rack.value(), settings.perRack, members});
        }
    }
    for (std::size_t index = 0; index < table.budgets.size(); ++index) {
        for (const auto &worker : table.budgets[index].members) {
            table.touched[worker].push_back(index);
        }
    }
    return table;
}

} // namespace cyclamenlatch::maintenance
