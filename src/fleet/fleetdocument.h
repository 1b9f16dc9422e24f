// The fleet document: everything that operators configure, in one checked value.
#pragma once

#include "fleet/datacentre.h"
#include "fleet/key.h"
#include "fleet/pool.h"
#include "fleet/queue.h"
#include "fleet/service.h"
#include "fleet/worker.h"
#include "fleet/workspace.h"

#include <memory>
#include <vector>

namespace cyclamenlatch::fleet {

namespace detail {

struct FleetIndex;

// Positions by id. Takes no part in comparisons: it says nothing that the items don't.
struct FleetIndexHolder
{
    std::shared_ptr<const FleetIndex> index;

    bool operator==(const FleetIndexHolder &) const { return true; }
};

} // namespace detail

struct FleetDocument
{
    std::vector<DataCentre> dataCentres;
    std::vector<Pool> pools;
    std::vector<Worker> workers;
    std::vector<Service> services;
    std::vector<Queue> queues;
    std::vector<Workspace> workspaces;
    std::vector<Key> keys;

    detail::FleetIndexHolder indexHolder;

    bool operator==(const FleetDocument &) const = default;

    // Makes look-ups by id independent of the document's size. Without it, or after changes to
    // the items, they are still right but may scan.
    void buildIndex();

    const Pool *findPool(const PoolId &id) const;
    const Key *findKey(const KeyId &id) const;
    const Queue *findQueue(const QueueId &id) const;
    const Service *findService(const ServiceId &id) const;
    const Workspace *findWorkspace(const WorkspaceId &id) const;
    const Worker *findWorker(const WorkerId &id) const;
};

} // namespace cyclamenlatch::fleet
