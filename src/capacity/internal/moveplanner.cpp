// Weighs the wait that a move saves against what it costs.
#include "capacity/moveplanner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace cyclamenlatch::capacity {

namespace {

double ratePerWorker(const PoolDemand &pool)
{
    return pool.slotsPerWorker / std::max(pool.runTime, 1e-6);
}

double workersNeeded(const PoolDemand &pool, double use)
{
    return pool.longArrivalRate / (ratePerWorker(pool) * use);
}

// A worker is moved there and, later, back. The nearer the spare pool is to empty, the dearer
// each of its workers.
double lendCost(const PoolDemand &spare, std::size_t left, const MoveSettings &settings)
{
    const auto lentAlready =
            1.0
            - static_cast<double>(left)
                      / static_cast<double>(std::max<std::size_t>(spare.workers.size(), 1));
    return 2 * settings.moveTime * settings.weights.moves
           + settings.moveTime * settings.weights.buffer * lentAlready;
}

// Workers that the spare pool needs for demand of its own.
std::size_t lendable(const PoolDemand &spare, const MoveSettings &settings)
{
    const auto needed = std::max(workersNeeded(spare, settings.returnBelow),
                                 spare.arrivalRate / ratePerWorker(spare));
    const auto kept = static_cast<std::size_t>(std::ceil(needed));
    return spare.workers.size() > kept ? spare.workers.size() - kept : 0;
}

std::vector<WorkerId>::const_iterator firstSuited(const std::vector<WorkerId> &free,
                                                  const PoolDemand &pool)
{
    return std::find_if(free.begin(), free.end(),
                        [&](const WorkerId &worker) { return !pool.unsuited.contains(worker); });
}

std::optional<MoveDecision> returnOne(const PoolDemand &pool, const PoolDemand &spare,
                                      const MoveSettings &settings)
{
    const bool dwelled = pool.sinceLent >= settings.dwellFactor * settings.moveTime;
    const auto withoutOne = static_cast<double>(pool.workers.size()) - 1;
    const bool needed = pool.queued > 0 || pool.overloadRemaining > 0
                        || workersNeeded(pool, settings.returnBelow) > withoutOne;
    if (pool.lent.empty() || !dwelled || needed) {
        return std::nullopt;
    }
    return MoveDecision{pool.lent.front(), pool.pool, spare.pool, 0, 0};
}

} // namespace

std::string MoveDecision::toString() const
{
    if (waitSaved == 0) {
        return fmt::format("moved {} from {} to {}: no longer needed there", worker.value(),
                           from.value(), to.value());
    }
    return fmt::format("moved {} from {} to {}: expected wait saved {:.0f} s against {:.0f} s of "
                       "move",
                       worker.value(), from.value(), to.value(), waitSaved, cost);
}

double expectedWaitSaved(const PoolDemand &pool, double moveTime)
{
    const auto rate = ratePerWorker(pool);
    const auto capacity = rate * static_cast<double>(pool.workers.size());
    const auto excess = pool.arrivalRate - capacity;
    const auto serving = pool.overloadRemaining - moveTime;
    if (serving <= 0 || (excess <= 0 && pool.queued <= 0)) {
        return 0;
    }
    const auto backlog = std::max(0.0, pool.queued + excess * pool.overloadRemaining);
    const auto served = std::min(rate * serving, backlog);
    return served * serving / 2;
}

std::vector<MoveDecision> planMoves(const PoolDemand &spare, const std::vector<PoolDemand> &pools,
                                    const MoveSettings &settings)
{
    std::vector<MoveDecision> decisions;
    std::vector<PoolDemand> state = pools;
    auto left = lendable(spare, settings);
    auto free = spare.workers;
    while (left > 0) {
        PoolDemand *best = nullptr;
        double bestSaved = 0;
        for (auto &pool : state) {
            const auto saved = expectedWaitSaved(pool, settings.moveTime) * pool.weight;
            if (saved > bestSaved && firstSuited(free, pool) != free.end()) {
                best = &pool;
                bestSaved = saved;
            }
        }
        const auto cost = lendCost(spare, left, settings);
        if (best == nullptr || bestSaved <= cost * settings.hysteresis) {
            break;
        }
        const auto worker = firstSuited(free, *best);
        decisions.push_back({*worker, spare.pool, best->pool, bestSaved, cost});
        best->workers.push_back(*worker);
        free.erase(worker);
        --left;
    }
    for (const auto &pool : pools) {
        if (auto back = returnOne(pool, spare, settings)) {
            decisions.push_back(std::move(*back));
        }
    }
    return decisions;
}

} // namespace cyclamenlatch::capacity
