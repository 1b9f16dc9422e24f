// Orders the hosts of a wave by remaining chain and rack.
#include "maintenance/hostorder.h"

#include "maintenance/budget.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace cyclamenlatch::maintenance {

namespace {

struct Candidate
{
    const fleet::Worker *worker = nullptr;
    // Place in its rack's group, counted from 0.
    std::size_t rankInRack = 0;
    double score = 0;
};

// Rounds that each budget needs: members to take divided by places, rounded up.
std::vector<double> chainLengths(const BudgetTable &table, const std::vector<Candidate> &candidates)
{
    std::vector<double> members(table.budgets.size(), 0);
    for (const auto &candidate : candidates) {
        const auto found = table.touched.find(candidate.worker->id);
        for (const auto index :
             found == table.touched.end() ? std::vector<std::size_t>() : found->second) {
            members[index] += 1;
        }
    }
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index] /= std::max(1U, table.budgets[index].maxOut);
    }
    return members;
}

// Selectors may name a worker's place as well: pool, rack and dataCentre.
fleet::Labels labelsOf(const fleet::Worker &worker)
{
    auto labels = worker.labels;
    labels.emplace("pool", worker.pool.value());
    labels.emplace("rack", worker.rack.value());
    labels.emplace("dataCentre", worker.dataCentre.value());
    return labels;
}

} // namespace

std::vector<WorkerId> orderHosts(const fleet::FleetDocument &fleet, const fleet::Selector &selector,
                                 const WaveSettings &settings)
{
    std::vector<Candidate> candidates;
    std::unordered_map<RackId, std::size_t> rackSizes;
    for (const auto &worker : fleet.workers) {
        if (selector.matches(labelsOf(worker))) {
            candidates.push_back({&worker, rackSizes[worker.rack]++, 0});
        }
    }
    const auto table = budgetsOf(fleet, settings);
    const auto chains = chainLengths(table, candidates);
    for (auto &candidate : candidates) {
        const auto found = table.touched.find(candidate.worker->id);
        double chain = 0;
        for (const auto index :
             found == table.touched.end() ? std::vector<std::size_t>() : found->second) {
            chain = std::max(chain, chains[index]);
        }
        const double openRack = candidate.rankInRack > 0 ? 1 : 0;
        candidate.score = settings.rollOutWeight * chain + settings.movesWeight * openRack;
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return std::tie(right.score, left.worker->rack, left.worker->id)
               < std::tie(left.score, right.worker->rack, right.worker->id);
    });
    std::vector<WorkerId> order;
    order.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        order.push_back(candidate.worker->id);
    }
    return order;
}

} // namespace cyclamenlatch::maintenance
