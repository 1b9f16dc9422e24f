// Carries demand from every entry to the one that leads the moves. The leader asks as many entries
// a second as its budget of bytes allows, in turn, so that its traffic doesn't grow with the fleet;
// in a large one the answers are older.
// Lock order: m_mutex is the only lock and is never held over a call to the outside.
#pragma once

#include "capacity/demandmessage.h"
#include "membership/peerbus.h"

#include <cstddef>
#include <functional>
#include <mutex>

namespace cyclamenlatch::capacity {

class DemandExchange
{
public:
    using Source = std::function<DemandAnswer()>;
    using Sink = std::function<void(const EntryId &, std::uint64_t incarnation, DemandAnswer)>;

    // source tells what this entry sees; sink takes what any entry answers. Both are thread-safe.
    DemandExchange(membership::PeerBus &peers, Source source, Sink sink);

    // Call before the peer bus starts.
    void subscribe();
    // Asks this entry and some of its peers; call once a second on the leader.
    void ask();

private:
    // Bytes of answers asked for at each call.
    static constexpr std::size_t byteBudget = 4096;

    void onMessage(const membership::PeerMessage &message);

    membership::PeerBus &m_peers;
    const Source m_source;
    const Sink m_sink;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::size_t m_turn = 0;
    std::size_t m_largestAnswer = 1;
};

} // namespace cyclamenlatch::capacity
