// Collects the rows of load reports and divides each worker's slots by the demand of its queues.
#include "dispatch/fleetload.h"

#include "dispatch/namehash.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::dispatch {

FleetLoad::FleetLoad(EntryId self, FleetLoadSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_table(std::make_shared<const routing::RoutingTable>())
{}

void FleetLoad::setTable(std::shared_ptr<const routing::RoutingTable> table)
{
    m_table = std::move(table);
    m_routes.clear();
    m_workspaces.clear();
    m_workspaces.emplace(nameHash(""), WorkspaceId());
    m_entries.clear();
    for (const auto &[queue, route] : m_table->queues()) {
        m_routes.emplace(nameHash(queue.value()), &route);
    }
    for (const auto &[workspace, weight] : m_table->weights()) {
        m_workspaces.emplace(nameHash(workspace.value()), workspace);
    }
}

void FleetLoad::receive(const EntryId &from, std::uint64_t incarnation, const LoadReport &report,
                        TimePoint now)
{
    auto &peer = m_peers[from];
    if (incarnation < peer.incarnation) {
        return;
    }
    if (incarnation > peer.incarnation) {
        peer = {incarnation, now, {}};
    }
    peer.lastSeenAt = now;
    for (const auto &row : report.rows) {
        const RowKey key{row.queue, row.workspace};
        const auto [stored, isNew] = peer.rows.try_emplace(key);
        if (!isNew) {
            addUse(key, row.used - stored->second.used);
        }
        stored->second = {row.demand, row.used, now};
    }
}

// The units are the difference of two totals that wrap at 32 bits; it may be negative.
void FleetLoad::addUse(const RowKey &key, std::uint32_t units)
{
    const auto change = static_cast<std::int32_t>(units);
    if (change != 0) {
        m_pendingUse[key] += change;
    }
}

std::vector<RemoteUse> FleetLoad::takeRemoteUse()
{
    constexpr double secondsPerUnit = 0.01;
    std::vector<RemoteUse> uses;
    for (const auto &[key, units] : m_pendingUse) {
        const auto route = m_routes.find(key.queue);
        const auto workspace = m_workspaces.find(key.workspace);
        if (route != m_routes.end() && workspace != m_workspaces.end()) {
            uses.push_back({route->second->queue, workspace->second,
                            static_cast<double>(units) * secondsPerUnit});
        }
    }
    m_pendingUse.clear();
    return uses;
}

void FleetLoad::removeExpiredPeers(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return now - item.second.lastSeenAt > m_settings.peerTimeout;
    });
    for (auto &[entry, peer] : m_peers) {
        std::erase_if(peer.rows, [&](const auto &item) {
            return now - item.second.updatedAt > m_settings.rowLifetime;
        });
    }
}

void FleetLoad::setEntries()
{
    std::vector<EntryId> entries{m_self};
    for (const auto &[entry, peer] : m_peers) {
        entries.push_back(entry);
    }
    std::sort(entries.begin(), entries.end());
    if (entries == m_entries) {
        return;
    }
    m_entries = std::move(entries);
    m_roundingOrders.clear();
    for (const auto &worker : m_table->workers()) {
        m_roundingOrders.push_back(roundingOrder(worker.id, m_entries));
    }
}

void FleetLoad::addDemand(const RowKey &key, std::size_t entry, unsigned demand)
{
    const auto route = m_routes.find(key.queue);
    if (route == m_routes.end() || route->second->candidates.empty() || demand == 0) {
        return;
    }
    auto &queue = m_demands[key.queue];
    queue.route = route->second;
    auto &requests = queue.requests[key.workspace];
    requests.resize(m_entries.size());
    requests[entry] += demand;
}

SlotShares FleetLoad::shares(const EntryLoad &own, TimePoint now)
{
    removeExpiredPeers(now);
    setEntries();
    m_demands.clear();
    std::size_t self = 0;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_entries[index] == m_self) {
            self = index;
            continue;
        }
        for (const auto &[key, row] : m_peers.at(m_entries[index]).rows) {
            addDemand(key, index, row.demand);
        }
    }
    for (const auto &[key, value] : own) {
        addDemand({nameHash(key.queue.value()), nameHash(key.workspace.value())}, self,
                  value.demand);
    }

    const auto &workers = m_table->workers();
    std::vector<std::vector<const QueueDemand *>> queuesOf(workers.size());
    for (const auto &[hash, queue] : m_demands) {
        for (const auto index : queue.route->candidates) {
            queuesOf[index].push_back(&queue);
        }
    }
    // Workers with the same slots and queues are divided once and differ only in the rounding.
    std::map<std::pair<unsigned, std::vector<const QueueDemand *>>, std::vector<double>> divided;
    SlotShares shares;
    shares.reserve(workers.size());
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto slots = workers[index].slots;
        auto [parts, isNew] = divided.try_emplace({slots, queuesOf[index]});
        if (isNew) {
            parts->second = divideWorker(slots, queuesOf[index]);
        }
        shares.push_back(roundSlots(m_roundingOrders[index], parts->second)[self]);
    }
    return shares;
}

// An entry's demand is capped at the worker's slots, so when the demand of all entries exceeds
// that, an entry with a longer queue gets no more slots than the others.
std::vector<double> FleetLoad::divideWorker(unsigned slots,
                                            const std::vector<const QueueDemand *> &queues) const
{
    std::map<NameHash, WorkspaceDemand> urgent;
    std::map<NameHash, WorkspaceDemand> normal;
    for (const auto *queue : queues) {
        const auto candidates = static_cast<double>(queue->route->candidates.size());
        for (const auto &[workspace, requests] : queue->requests) {
            auto &demand = (queue->route->urgent ? urgent : normal)[workspace];
            demand.weight = weightOf(workspace);
            demand.slots.resize(m_entries.size());
            for (std::size_t entry = 0; entry < requests.size(); ++entry) {
                demand.slots[entry] =
                        std::min<double>(slots, demand.slots[entry] + requests[entry] / candidates);
            }
        }
    }
    const auto listOf = [](const std::map<NameHash, WorkspaceDemand> &demands) {
        std::vector<WorkspaceDemand> list;
        list.reserve(demands.size());
        for (const auto &[workspace, demand] : demands) {
            list.push_back(demand);
        }
        return list;
    };
    return divideSlots(slots, m_entries.size(), listOf(urgent), listOf(normal));
}

double FleetLoad::weightOf(NameHash workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? 1 : m_table->weight(found->second);
}

} // namespace cyclamenlatch::dispatch
