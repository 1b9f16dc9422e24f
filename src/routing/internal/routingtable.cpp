// Builds the routing table from a fleet document.
#include "routing/routingtable.h"

#include <algorithm>

namespace cyclamenlatch::routing {

namespace {

bool saysLeaving(const fleet::Labels &labels)
{
    const auto found = labels.find(leavingLabel);
    return found != labels.end() && found->second != "false";
}

} // namespace

RoutingTable::RoutingTable(const fleet::FleetDocument &fleet)
{
    for (const auto &worker : fleet.workers) {
        const auto index = static_cast<WorkerIndex>(m_workers.size());
        m_workers.push_back({worker.id, worker.pool, worker.minionAddress, worker.slots,
                             saysLeaving(worker.labels)});
        m_pools[worker.pool].workers.push_back(index);
    }
    std::unordered_map<ServiceId, const fleet::Service *> services;
    std::unordered_map<PoolId, unsigned> budgets;
    for (const auto &service : fleet.services) {
        services.emplace(service.id, &service);
        const auto [budget, isNew] = budgets.emplace(service.pool, service.maxUnavailable);
        budget->second = isNew ? budget->second : std::min(budget->second, service.maxUnavailable);
    }
    for (const auto &[pool, budget] : budgets) {
        m_pools[pool].maxUnavailable = budget;
    }
    for (const auto &queue : fleet.queues) {
        const auto service = services.find(queue.service);
        if (service == services.end()) {
            continue;
        }
        QueueRoute route{queue.id,     service->second->pool, queue.idempotent,
                         queue.urgent, queue.timeout,         {}};
        for (const auto index : m_pools[route.pool].workers) {
            if (queue.selector.matches(fleet.workers[index].labels)) {
                route.candidates.push_back(index);
            }
        }
        m_queues.emplace(queue.id, std::move(route));
    }
    for (const auto &workspace : fleet.workspaces) {
        m_weights.emplace(workspace.id, workspace.weight);
    }
}

const QueueRoute *RoutingTable::findQueue(const QueueId &queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? nullptr : &found->second;
}

const RoutedPool *RoutingTable::findPool(const PoolId &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : &found->second;
}

double RoutingTable::weight(const WorkspaceId &workspace) const
{
    const auto found = m_weights.find(workspace);
    return found == m_weights.end() || found->second <= 0 ? 1 : found->second;
}

} // namespace cyclamenlatch::routing
