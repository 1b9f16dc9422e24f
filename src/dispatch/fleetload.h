// What this entry knows of the load of all entries, and the slots that it may use of each minion.
// Pure: time is passed in. What others told is forgotten when they fall silent, so that an entry
// which is cut off comes to use what it can reach.
#pragma once

#include "dispatch/entryload.h"
#include "dispatch/loadreport.h"
#include "dispatch/remoteuse.h"
#include "dispatch/slotdivision.h"
#include "global/time.h"
#include "routing/routingtable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::dispatch {

// Slots of each worker of a routing table, in its order.
using SlotShares = std::vector<unsigned>;

struct FleetLoadSettings
{
    // An entry that is silent for longer gets no slots from the others.
    Duration peerTimeout = std::chrono::seconds(3);
    // A row that is not told again for this long has ended.
    Duration rowLifetime = std::chrono::seconds(60);
};

class FleetLoad
{
public:
    explicit FleetLoad(EntryId self, FleetLoadSettings settings = {});

    void setTable(std::shared_ptr<const routing::RoutingTable> table);
    const std::shared_ptr<const routing::RoutingTable> &table() const { return m_table; }
    void receive(const EntryId &from, std::uint64_t incarnation, const LoadReport &digest,
                 TimePoint now);
    // What this entry may use, given its own load.
    SlotShares shares(const EntryLoad &own, TimePoint now);
    // What other entries have charged since the last call. What they charged before they were first
    // heard, or while they were silent, is left out.
    std::vector<RemoteUse> takeRemoteUse();

private:
    struct RowKey
    {
        NameHash queue = 0;
        NameHash workspace = 0;

        auto operator<=>(const RowKey &) const = default;
    };
    struct Row
    {
        unsigned demand = 0;
        std::uint32_t used = 0;
        TimePoint updatedAt{};
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        TimePoint lastSeenAt{};
        std::map<RowKey, Row> rows;
    };
    // What all entries ask of one queue.
    struct QueueDemand
    {
        const routing::QueueRoute *route = nullptr;
        // By workspace, then by entry.
        std::map<NameHash, std::vector<double>> requests;
    };

    void removeExpiredPeers(TimePoint now);
    void addUse(const RowKey &key, std::uint32_t units);
    void setEntries();
    void addDemand(const RowKey &key, std::size_t entry, unsigned demand);
    std::vector<double> divideWorker(unsigned slots,
                                     const std::vector<const QueueDemand *> &queues) const;
    double weightOf(NameHash workspace) const;

    EntryId m_self;
    FleetLoadSettings m_settings;
    std::shared_ptr<const routing::RoutingTable> m_table;
    std::unordered_map<NameHash, const routing::QueueRoute *> m_routes;
    std::unordered_map<NameHash, WorkspaceId> m_workspaces;
    std::map<EntryId, Peer> m_peers;
    // This entry and those that are heard of, in order of their names.
    std::vector<EntryId> m_entries;
    // For the entries above, by worker of the table.
    std::vector<RoundingOrder> m_orders;
    std::map<NameHash, QueueDemand> m_demands;
    // Not yet taken, in units of LoadRow::used.
    std::map<RowKey, std::int64_t> m_use;
};

} // namespace cyclamenlatch::dispatch
