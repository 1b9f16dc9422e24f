// A fleet for the simulated benches: pools of equal workers, each with a service and a queue.
#pragma once

#include "fleet/fleetdocument.h"
#include "global/quantile.h"
#include "global/random.h"
#include "global/time.h"

#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

namespace cyclamenlatch::bench {

inline fleet::FleetDocument makeFleet(unsigned pools, unsigned workersPerPool, unsigned slots,
                                      bool idempotent, unsigned maxUnavailable)
{
    fleet::FleetDocument fleet;
    for (unsigned pool = 0; pool < pools; ++pool) {
        const auto name = "q-" + std::to_string(pool);
        fleet.services.push_back({ServiceId(name), PoolId(name), maxUnavailable});
        fleet::Queue queue;
        queue.id = QueueId(name);
        queue.service = ServiceId(name);
        queue.idempotent = idempotent;
        fleet.queues.push_back(queue);
        for (unsigned index = 0; index < workersPerPool; ++index) {
            fleet::Worker worker;
            worker.id = WorkerId(name + "-w-" + std::to_string(index));
            worker.pool = PoolId(name);
            worker.slots = slots;
            // The simulation knows minions by their worker's id.
            worker.minionAddress = worker.id.value();
            fleet.workers.push_back(worker);
        }
    }
    return fleet;
}

// Mean time between arrivals at so many a second.
inline Duration gapOf(double rate)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
}

inline Duration exponential(Duration mean, Random &random)
{
    const double factor = -std::log(1 - uniformReal(random));
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(toSeconds(mean) * factor));
}

} // namespace cyclamenlatch::bench
