// Collects rows and divides each worker's slots by the demand of the queues that it serves.
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
    m_weights.clear();
    m_entries.clear();
    for (const auto &[queue, route] : m_table->queues()) {
        m_routes.emplace(nameHash(queue.value()), &route);
    }
    for (const auto &[workspace, weight] : m_table->weights()) {
        m_weights.emplace(nameHash(workspace.value()), m_table->weight(workspace));
    }
}

void FleetLoad::receive(const EntryId &from, std::uint64_t incarnation, const LoadDigest &digest,
                        TimePoint now)
{
    auto &peer = m_peers[from];
    if (incarnation < peer.incarnation) {
        return;
    }
    if (incarnation > peer.incarnation) {
        peer = {incarnation, now, {}};
    }
    peer.heardAt = now;
    for (const auto &row : digest.rows) {
        peer.rows[{row.queue, row.workspace}] = {row.demand, now};
    }
}

void FleetLoad::forgetSilent(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return now - item.second.heardAt > m_settings.silentAfter;
    });
    for (auto &[entry, peer] : m_peers) {
        std::erase_if(peer.rows, [&](const auto &item) {
            return item.second.demand == 0 || now - item.second.toldAt > m_settings.rowLifetime;
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
    m_orders.clear();
    for (const auto &worker : m_table->workers()) {
        m_orders.push_back(roundingOrder(worker.id, m_entries));
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
    forgetSilent(now);
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
    // Workers that serve the same queues differ in their rounding only.
    std::map<std::pair<unsigned, std::vector<const QueueDemand *>>, std::vector<double>> divided;
    SlotShares shares;
    shares.reserve(workers.size());
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto slots = workers[index].slots;
        auto [parts, isNew] = divided.try_emplace({slots, queuesOf[index]});
        if (isNew) {
            parts->second = divideWorker(slots, queuesOf[index]);
        }
        shares.push_back(roundSlots(m_orders[index], parts->second)[self]);
    }
    return shares;
}

// An entry's demand counts up to the worker's slots: with all of them above that, the longer line
// gets no more.
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
    const auto found = m_weights.find(workspace);
    return found == m_weights.end() ? 1 : found->second;
}

} // namespace cyclamenlatch::dispatch
