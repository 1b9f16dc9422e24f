// Which entry of a data centre owns an idempotency key, now and earlier. An entry may grant a key
// only if it has owned it under every roster since the key was made, and since every other entry
// of the data centre acknowledged it: then no other entry can have granted the key. Pure.
//
// A silent entry stays in the roster: taking its keys over while it may live would let two owners
// grant one key. It leaves the roster when it said so, or the platform no longer lists its host.
#pragma once

#include "global/ids.h"
#include "global/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string_view>

namespace cyclamenlatch::dispatch {

// Rendezvous hashing: the entry with the highest hash of itself and the key.
std::optional<EntryId> ownerOf(std::string_view key, const std::set<EntryId> &entries);

class OwnerRoster
{
public:
    // Far below the time after which membership forgets a silent entry.
    static constexpr std::chrono::milliseconds longestPause{60000};

    // The incarnation differs for each start of the entry.
    OwnerRoster(EntryId self, std::uint64_t incarnation);

    // The entries of this data centre that may be alive, without this one.
    void setPeers(const std::set<EntryId> &peers, WallTime now);
    // A peer that says it is there joins the roster at once.
    void addPeer(const EntryId &peer, WallTime now);
    // Goes to peers with the request to count this entry in, and comes back with their
    // acknowledgement. Differs whenever earlier acknowledgements count no more.
    std::uint64_t handshake() const;
    // A peer confirms that this entry is in its roster. One for an earlier handshake is ignored: it
    // may have been on its way while the peer forgot this entry.
    void acknowledged(const EntryId &peer, std::uint64_t handshake, WallTime now);
    // Peers that have not acknowledged this entry.
    std::set<EntryId> unacknowledged() const;

    // Call before each use. A process that was paused for long may have been forgotten by its peers
    // meanwhile, so it owns nothing until all of them acknowledge it again.
    void observeTime(WallTime now);

    bool ownsNow(std::string_view key) const;
    // Whether this entry has owned the key without a break since that time, acknowledged by all.
    bool ownedSince(std::string_view key, WallTime since) const;
    const std::set<EntryId> &entries() const { return m_epochs.back().entries; }
    // Forgets rosters that ended before then.
    void forgetBefore(WallTime time);

private:
    struct Epoch
    {
        // In force from then until the next epoch begins.
        WallTime from;
        std::set<EntryId> entries;
    };

    void begin(std::set<EntryId> entries, WallTime now);

    EntryId m_self;
    const std::uint64_t m_incarnation;
    // Grows whenever acknowledgements are dropped.
    std::uint64_t m_round = 0;
    // Invariant: never empty; ordered by time; each contains this entry.
    std::deque<Epoch> m_epochs;
    std::set<EntryId> m_acknowledged;
    // When the last peer of the current roster acknowledged this entry; nothing until then.
    std::optional<WallTime> m_fullyAcknowledgedAt;
    std::optional<WallTime> m_notedAt;
};

} // namespace cyclamenlatch::dispatch
