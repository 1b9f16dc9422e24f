// Determines which entry of a data centre owns an idempotency key, now and in the past. An entry
// may grant a key only if every other entry of the data centre had acknowledged it before the key
// was made, and it has owned the key under every roster since: then no other entry can have granted
// the key. Does no I/O.
//
// A silent entry stays in the roster: if its keys were taken over while it may be alive, two owners
// could grant the same key. It leaves the roster when it announces that it leaves, or when the
// platform no longer lists its host.
#pragma once

#include "global/ids.h"
#include "global/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string_view>

namespace cyclamenlatch::dispatch {

// Rendezvous hashing: returns the entry whose hash with the key is the highest.
std::optional<EntryId> ownerOf(std::string_view key, const std::set<EntryId> &entries);

class OwnerRoster
{
public:
    // Longest gap between two calls of observeTime. Far below the time after which membership
    // forgets a silent entry.
    static constexpr std::chrono::milliseconds longestPause{60000};

    // The incarnation differs each time the entry starts.
    OwnerRoster(EntryId self, std::uint64_t incarnation);

    // Sets the other entries of this data centre that may be alive.
    void setPeers(const std::set<EntryId> &peers, WallTime now);
    // Adds a peer to the roster as soon as it announces itself.
    void addPeer(const EntryId &peer, WallTime now);
    // Value that is sent to peers with the request to add this entry to their rosters, and that
    // they return in the acknowledgement. Changes whenever earlier acknowledgements become invalid.
    std::uint64_t handshake() const;
    // Records that a peer's roster contains this entry. An acknowledgement of an earlier handshake
    // is ignored: the peer may have forgotten this entry after it sent it.
    void acknowledged(const EntryId &peer, std::uint64_t handshake, WallTime now);
    // Returns the peers that have not acknowledged this entry.
    std::set<EntryId> unacknowledged() const;

    // Must be called before each use. Peers may have forgotten a process that was paused for longer
    // than longestPause, so it owns no key until all of them acknowledge it again.
    void observeTime(WallTime now);

    bool ownsNow(std::string_view key) const;
    // Whether this entry, acknowledged by all peers, has owned the key without a break since then.
    bool ownedSince(std::string_view key, WallTime since) const;
    const std::set<EntryId> &entries() const { return m_epochs.back().entries; }
    // Removes rosters that were replaced before this time.
    void forgetBefore(WallTime time);

private:
    struct Epoch
    {
        // The epoch lasts from this time until the next one begins.
        WallTime from;
        std::set<EntryId> entries;
    };

    void beginEpoch(std::set<EntryId> entries, WallTime now);

    EntryId m_self;
    const std::uint64_t m_incarnation;
    // Incremented whenever earlier acknowledgements become invalid.
    std::uint64_t m_handshakeRound = 0;
    // Invariant: never empty; ordered by time; each contains this entry.
    std::deque<Epoch> m_epochs;
    std::set<EntryId> m_acknowledged;
    // Time since which all peers have acknowledged this entry; not set until then.
    std::optional<WallTime> m_fullyAcknowledgedAt;
    std::optional<WallTime> m_lastObservedAt;
};

} // namespace cyclamenlatch::dispatch
