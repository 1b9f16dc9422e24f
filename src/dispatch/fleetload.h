// The load of all entries as far as this entry knows it, and the slots of each minion that this
// entry may use. Reads no clock: the time is passed in. The reports of an entry expire when it
// falls silent, so an entry that is cut off from its peers ends up using all slots of the minions
// that it reaches.
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
    // An entry that sends no report for longer than this is not counted in the division of slots.
    Duration peerTimeout = std::chrono::seconds(3);
    // A row that is not reported again within this time is removed.
    Duration rowLifetime = std::chrono::seconds(60);
};

class FleetLoad
{
public:
    explicit FleetLoad(EntryId self, FleetLoadSettings settings = {});

    void setTable(std::shared_ptr<const routing::RoutingTable> table);
    const std::shared_ptr<const routing::RoutingTable> &table() const { return m_table; }
    void receive(const EntryId &from, std::uint64_t incarnation, const LoadReport &report,
                 TimePoint now);
    // Returns the slots that this entry may use, given its own load.
    SlotShares shares(const EntryLoad &own, TimePoint now);
    // Returns the slot time that other entries have charged since the last call. Leaves out what
    // they charged before their first report, or while they were silent.
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
    // Demand of all entries on one queue.
    struct QueueDemand
    {
        const routing::QueueRoute *route = nullptr;
        // Number of requests by workspace, then by index in m_entries.
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
    // This entry and the peers that have not expired, ordered by name.
    std::vector<EntryId> m_entries;
    // Rounding order of m_entries for each worker of the table.
    std::vector<RoundingOrder> m_roundingOrders;
    std::map<NameHash, QueueDemand> m_demands;
    // Slot time not yet returned by takeRemoteUse, in units of LoadRow::used.
    std::map<RowKey, std::int64_t> m_pendingUse;
};

} // namespace cyclamenlatch::dispatch
