// The fleet document: everything that operators configure, in one checked value.
#pragma once

#include "fleet/datacentre.h"
#include "fleet/key.h"
#include "fleet/pool.h"
#include "fleet/queue.h"
#include "fleet/service.h"
#include "fleet/worker.h"
#include "fleet/workspace.h"

#include <vector>

namespace cyclamenlatch::fleet {

struct FleetDocument
{
    std::vector<DataCentre> dataCentres;
    std::vector<Pool> pools;
    std::vector<Worker> workers;
    std::vector<Service> services;
    std::vector<Queue> queues;
    std::vector<Workspace> workspaces;
    std::vector<Key> keys;

    bool operator==(const FleetDocument &) const = default;

    const Queue *findQueue(const QueueId &id) const;
    const Service *findService(const ServiceId &id) const;
    const Workspace *findWorkspace(const WorkspaceId &id) const;
    const Worker *findWorker(const WorkerId &id) const;
};

} // namespace cyclamenlatch::fleet
