// The routing table: which workers may run each queue's requests. Built once per fleet document
// and never changed afterwards, so that a request looks up its candidates without a scan.
#pragma once

#include "fleet/fleetdocument.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::routing {

// Position of a worker in RoutingTable::workers().
using WorkerIndex = std::uint32_t;

// Workers that carry this label, with any value but "false", get no new requests.
inline constexpr const char *leavingLabel = "leaving";

struct RoutedWorker
{
    WorkerId id;
    PoolId pool;
    // "address:port" of its minion.
    std::string minionAddress;
    unsigned slots = 0;
    bool leaving = false;
};

struct QueueRoute
{
    QueueId queue;
    PoolId pool;
    bool idempotent = false;
    bool urgent = false;
    std::chrono::milliseconds timeout{0};
    std::vector<WorkerIndex> candidates;
};

struct RoutedPool
{
    // Workers that may be out at once: the least budget of the services on the pool.
    unsigned maxUnavailable = 0;
    std::vector<WorkerIndex> workers;
};

class RoutingTable
{
public:
    RoutingTable() = default;
    explicit RoutingTable(const fleet::FleetDocument &fleet);

    // Returns nullptr when there is no such queue, or its service is missing.
    const QueueRoute *findQueue(const QueueId &queue) const;
    const RoutedPool *findPool(const PoolId &pool) const;
    // Weight of a workspace when a pool is full; 1 for one that is not configured.
    double weight(const WorkspaceId &workspace) const;
    const std::vector<RoutedWorker> &workers() const { return m_workers; }
    const std::unordered_map<QueueId, QueueRoute> &queues() const { return m_queues; }
    // Weights of the configured workspaces.
    const std::unordered_map<WorkspaceId, double> &weights() const { return m_weights; }

private:
    std::vector<RoutedWorker> m_workers;
    std::unordered_map<PoolId, RoutedPool> m_pools;
    std::unordered_map<QueueId, QueueRoute> m_queues;
    std::unordered_map<WorkspaceId, double> m_weights;
};

} // namespace cyclamenlatch::routing
