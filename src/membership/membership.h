// Knows which entries are alive, by digests over the peer bus, and keeps the bus's peers current.
// Lock order: m_mutex is the only lock and is never held while the callback runs.
#pragma once

#include "global/random.h"
#include "membership/membertable.h"
#include "membership/peerbus.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::membership {

class Membership
{
public:
    using OnChange = std::function<void(const std::vector<Member> &live)>;

    Membership(asio::io_context &context, PeerBus &bus, const std::vector<PeerAddress> &seeds,
               std::uint64_t seed, MemberTableSettings settings = {});

    // Runs when the live entries change. Set before start; must not block.
    void setOnChange(OnChange onChange);
    // Start after the bus has started and stop before it stops.
    void start();
    // Tells every peer that this entry takes no more work.
    void leave();
    void stop();

    // Other entries that are alive as far as this one knows, leaving ones left out.
    std::vector<Member> live() const;
    // Addresses from the platform's list, which may lag.
    void addSeeds(const std::vector<PeerAddress> &seeds);

    // A small value of this entry that travels with its heartbeat, at most maxValueBytes.
    bool setValue(PeerTopic topic, std::string value);
    std::optional<std::string> valueOf(const EntryId &entry, PeerTopic topic) const;

    static constexpr std::size_t maxValueBytes = 64;

private:
    void scheduleTick();
    void tick();
    void receive(const PeerMessage &message);
    void send(const std::vector<OutgoingDigest> &digests);
    void tellChange();

    PeerBus &m_bus;
    MemberTableSettings m_settings;
    OnChange m_onChange;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex.
    asio::steady_timer m_timer;
    std::optional<MemberTable> m_table;
    std::vector<PeerAddress> m_seeds;
    std::vector<std::pair<EntryId, std::uint64_t>> m_toldLive;
    Random m_random;
    bool m_stopped = false;
};

} // namespace cyclamenlatch::membership
