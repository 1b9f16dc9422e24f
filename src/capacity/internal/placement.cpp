// Best fit over a vector of resources.
#include "capacity/placement.h"

#include <algorithm>

namespace cyclamenlatch::capacity {

namespace {

// Added to the score of a worker whose accelerators the work would leave idle.
constexpr double idleAcceleratorPenalty = 1;

double share(double amount, double total)
{
    return total > 0 ? amount / total : 0;
}

double score(const fleet::Resources &work, const WorkerRoom &room)
{
    const auto processors = share(room.free.processors - work.processors, room.total.processors);
    const auto memory = share(room.free.memoryMib - work.memoryMib, room.total.memoryMib);
    const bool leavesIdle = work.accelerators == 0 && room.free.accelerators > 0;
    const auto accelerators = share(static_cast<double>(room.free.accelerators)
                                            - static_cast<double>(work.accelerators),
                                    room.total.accelerators);
    return std::max({processors, memory, work.accelerators > 0 ? accelerators : 0})
           + (leavesIdle ? idleAcceleratorPenalty : 0);
}

} // namespace

bool fits(const fleet::Resources &work, const fleet::Resources &free)
{
    return work.processors <= free.processors && work.memoryMib <= free.memoryMib
           && work.accelerators <= free.accelerators;
}

std::optional<std::size_t> bestFit(const fleet::Resources &work,
                                   const std::vector<WorkerRoom> &workers)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!fits(work, workers[index].free)) {
            continue;
        }
        const auto candidate = score(work, workers[index]);
        if (!best || candidate < bestScore) {
            best = index;
            bestScore = candidate;
        }
    }
    return best;
}

} // namespace cyclamenlatch::capacity
