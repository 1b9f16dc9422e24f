// Rendezvous hashing over the current and earlier rosters.
#include "dispatch/ownerroster.h"

#include <xxhash.h>

#include <algorithm>

namespace cyclamenlatch::dispatch {

std::optional<EntryId> ownerOf(std::string_view key, const std::set<EntryId> &entries)
{
    std::optional<EntryId> owner;
    XXH64_hash_t highest = 0;
    const auto seed = XXH64(key.data(), key.size(), 0);
    for (const auto &entry : entries) {
        const auto hash = XXH64(entry.value().data(), entry.value().size(), seed);
        if (!owner || hash > highest) {
            owner = entry;
            highest = hash;
        }
    }
    return owner;
}

OwnerRoster::OwnerRoster(EntryId self, std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
{
    m_epochs.push_back({WallTime::min(), {m_self}});
}

void OwnerRoster::setPeers(const std::set<EntryId> &peers, WallTime now)
{
    auto entries = peers;
    entries.insert(m_self);
    if (entries != m_epochs.back().entries || !m_fullyAcknowledgedAt) {
        beginEpoch(std::move(entries), now);
    }
}

void OwnerRoster::addPeer(const EntryId &peer, WallTime now)
{
    if (m_epochs.back().entries.contains(peer)) {
        return;
    }
    auto entries = m_epochs.back().entries;
    entries.insert(peer);
    beginEpoch(std::move(entries), now);
}

void OwnerRoster::beginEpoch(std::set<EntryId> entries, WallTime now)
{
    const auto &current = m_epochs.back().entries;
    if (!std::includes(entries.begin(), entries.end(), current.begin(), current.end())) {
        // Acknowledgements that a peer sent before it left must not count when it joins again.
        ++m_handshakeRound;
    }
    if (entries != current) {
        m_epochs.push_back({now, std::move(entries)});
    }
    std::erase_if(m_acknowledged,
                  [this](const auto &peer) { return !m_epochs.back().entries.contains(peer); });
    if (!m_fullyAcknowledgedAt && unacknowledged().empty()) {
        m_fullyAcknowledgedAt = now;
    }
}

std::uint64_t OwnerRoster::handshake() const
{
    return XXH64(&m_handshakeRound, sizeof m_handshakeRound, m_incarnation);
}

void OwnerRoster::acknowledged(const EntryId &peer, std::uint64_t handshake, WallTime now)
{
    if (handshake != this->handshake() || !m_epochs.back().entries.contains(peer)) {
        return;
    }
    m_acknowledged.insert(peer);
    if (!m_fullyAcknowledgedAt && unacknowledged().empty()) {
        m_fullyAcknowledgedAt = now;
    }
}

std::set<EntryId> OwnerRoster::unacknowledged() const
{
    std::set<EntryId> missing;
    for (const auto &entry : m_epochs.back().entries) {
        if (entry != m_self && !m_acknowledged.contains(entry)) {
            missing.insert(entry);
        }
    }
    return missing;
}

void OwnerRoster::observeTime(WallTime now)
{
    if (m_lastObservedAt && now - *m_lastObservedAt > longestPause) {
        ++m_handshakeRound;
        m_acknowledged.clear();
        m_fullyAcknowledgedAt.reset();
    }
    m_lastObservedAt = now;
}

bool OwnerRoster::ownsNow(std::string_view key) const
{
    return m_fullyAcknowledgedAt.has_value() && ownerOf(key, m_epochs.back().entries) == m_self;
}

bool OwnerRoster::ownedSince(std::string_view key, WallTime since) const
{
    if (!m_fullyAcknowledgedAt || *m_fullyAcknowledgedAt > since) {
        return false;
    }
    for (std::size_t index = 0; index < m_epochs.size(); ++index) {
        const bool endedBefore = index + 1 < m_epochs.size() && m_epochs[index + 1].from <= since;
        if (!endedBefore && ownerOf(key, m_epochs[index].entries) != m_self) {
            return false;
        }
    }
    return true;
}

void OwnerRoster::forgetBefore(WallTime time)
{
    while (m_epochs.size() > 1 && m_epochs[1].from <= time) {
        m_epochs.pop_front();
    }
}

} // namespace cyclamenlatch::dispatch
