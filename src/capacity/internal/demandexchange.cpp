// Asks and answers over the peer bus.
#include "capacity/demandexchange.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::capacity {

using membership::PeerTopic;

DemandExchange::DemandExchange(membership::PeerBus &peers, Source source, Sink sink)
    : m_peers(peers)
    , m_source(std::move(source))
    , m_sink(std::move(sink))
{}

void DemandExchange::subscribe()
{
    m_peers.subscribe(PeerTopic::Demand,
                      [this](const membership::PeerMessage &message) { onMessage(message); });
}

void DemandExchange::ask()
{
    m_sink(m_peers.self().entry, m_peers.incarnation(), m_source());
    const auto peers = m_peers.peers();
    std::size_t first = 0;
    std::size_t count = 0;
    {
        const std::lock_guard lock(m_mutex);
        count = std::clamp<std::size_t>(byteBudget / m_largestAnswer, 1, peers.size() + 1);
        count = std::min(count, peers.size());
        first = m_turn;
        m_turn += count;
    }
    const auto poll = membership::encode(DemandMessage(DemandPoll()));
    for (std::size_t index = 0; index < count; ++index) {
        m_peers.send(peers[(first + index) % peers.size()].entry, PeerTopic::Demand, poll);
    }
}

void DemandExchange::onMessage(const membership::PeerMessage &message)
{
    auto decoded = membership::decode<DemandMessage>(message.body);
    if (!decoded) {
        return;
    }
    if (std::holds_alternative<DemandPoll>(*decoded)) {
        m_peers.sendValue(message.from, PeerTopic::Demand, DemandMessage(m_source()));
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_largestAnswer = std::max(m_largestAnswer, message.body.size());
    }
    m_sink(message.from, message.incarnation, std::get<DemandAnswer>(std::move(*decoded)));
}

} // namespace cyclamenlatch::capacity
