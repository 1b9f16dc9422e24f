// The users' sizes as fleet documents: today's two users, and the plan's size.
#pragma once

#include "fleet/fleetdocument.h"

#include <fmt/format.h>

#include <string>

namespace cyclamenlatch::bench {

struct FleetShape
{
    std::string name;
    unsigned workers = 50;
    unsigned pools = 5;
    unsigned workspaces = 6;
    double processors = 16;
    double memoryMib = 65536;
    unsigned accelerators = 0;
};

// Each worker of 16 cores has 64 GB at the crane co-operative; 32 and 128 GB at the kitchens.
// The plan has 1,900 accelerators on 1,300 workers.
inline const FleetShape fremantle{"fremantle", 50, 5, 6, 16, 65536, 0};
inline const FleetShape bepChung{"bep-chung", 50, 5, 6, 32, 131072, 0};
inline const FleetShape plannedFleet{"planned", 1300, 150, 280, 32, 131072, 2};

// Pool i serves service i with a usual and an urgent queue. The first quarter of the workspaces
// has four times the weight of the others.
inline fleet::FleetDocument makeFleet(const FleetShape &shape)
{
    constexpr unsigned workersPerRack = 4;
    fleet::FleetDocument fleet;
    for (unsigned pool = 0; pool < shape.pools; ++pool) {
        fleet.pools.push_back({PoolId(fmt::format("p-{}", pool)), false});
        fleet.services.push_back(
                {ServiceId(fmt::format("s-{}", pool)), PoolId(fmt::format("p-{}", pool))});
        for (const bool urgent : {false, true}) {
            fleet::Queue queue;
            queue.id = QueueId(fmt::format("{}-{}", urgent ? "urgent" : "usual", pool));
            queue.service = ServiceId(fmt::format("s-{}", pool));
            queue.urgent = urgent;
            fleet.queues.push_back(queue);
        }
    }
    for (unsigned index = 0; index < shape.workers; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId(fmt::format("w-{}", index));
        worker.rack = RackId(fmt::format("r-{}", index / workersPerRack));
        worker.pool = PoolId(fmt::format("p-{}", index % shape.pools));
        worker.resources = {shape.processors, shape.memoryMib, shape.accelerators};
        fleet.workers.push_back(worker);
    }
    for (unsigned index = 0; index < shape.workspaces; ++index) {
        const bool large = index < (shape.workspaces + 3) / 4;
        fleet.workspaces.push_back(
                {WorkspaceId(fmt::format("t-{}", index)), large ? 4.0 : 1.0, 100000});
    }
    return fleet;
}

} // namespace cyclamenlatch::bench
