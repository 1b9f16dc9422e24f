// Sends and answers drain polls over the peer bus.
#include "maintenance/draincoordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cyclamenlatch::maintenance {

using membership::PeerTopic;

DrainCoordinator::DrainCoordinator(membership::PeerBus &peers, DrainHooks hooks)
    : m_peers(peers)
    , m_hooks(std::move(hooks))
{}

void DrainCoordinator::subscribe()
{
    m_peers.subscribe(PeerTopic::Maintenance,
                      [this](const membership::PeerMessage &message) { onMessage(message); });
}

void DrainCoordinator::take(const DrainPoll &poll)
{
    answer(poll);
}

void DrainCoordinator::noteRead(store::StoreRevision revision,
                                std::unordered_map<WorkerId, store::StoreRevision> records)
{
    const std::lock_guard lock(m_mutex);
    m_marks.noteRead(revision, std::move(records));
    m_hooks.setLeaving(m_marks.workers());
}

void DrainCoordinator::ask(const DrainPoll &poll)
{
    m_peers.sendToAll(PeerTopic::Maintenance, membership::encode(MaintenanceMessage(poll)));
    const auto own = answer(poll);
    const std::lock_guard lock(m_mutex);
    m_collectors[poll.scope].take(m_peers.self().entry, m_peers.incarnation(), own, steadyNow());
}

void DrainCoordinator::askForMarks()
{
    m_peers.sendToAll(PeerTopic::Maintenance,
                      membership::encode(MaintenanceMessage(MarksRequest())));
}

std::unordered_map<WorkerId, store::StoreRevision> DrainCoordinator::quiet(
        const std::string &scope, const EntryRecords &records) const
{
    const auto entries = allEntries(records);
    const std::lock_guard lock(m_mutex);
    const auto collector = m_collectors.find(scope);
    if (collector == m_collectors.end()) {
        return {};
    }
    return collector->second.quiet(m_marks.marks(scope), entries, steadyNow());
}

std::vector<EntryId> DrainCoordinator::waitingFor(const std::string &scope,
                                                  const EntryRecords &records) const
{
    const auto entries = allEntries(records);
    const std::lock_guard lock(m_mutex);
    const auto collector = m_collectors.find(scope);
    std::set<EntryId> waiting;
    if (collector != m_collectors.end()) {
        for (const auto &mark : m_marks.marks(scope)) {
            const auto more = collector->second.waitingFor(mark, entries, steadyNow());
            waiting.insert(more.begin(), more.end());
        }
    }
    return {waiting.begin(), waiting.end()};
}

void DrainCoordinator::onMessage(const membership::PeerMessage &message)
{
    const auto decoded = membership::decode<MaintenanceMessage>(message.body);
    if (!decoded) {
        return;
    }
    if (const auto *poll = std::get_if<DrainPoll>(&*decoded)) {
        m_peers.sendValue(message.from, PeerTopic::Maintenance, MaintenanceMessage(answer(*poll)));
    } else if (const auto *states = std::get_if<DrainAnswer>(&*decoded)) {
        const std::lock_guard lock(m_mutex);
        m_collectors[states->scope].take(message.from, message.incarnation, *states, steadyNow());
    } else if (const auto *known = std::get_if<KnownMarks>(&*decoded)) {
        answer(known->poll);
    } else {
        sendKnownMarks(message.from);
    }
}

void DrainCoordinator::sendKnownMarks(const EntryId &to)
{
    std::vector<DrainPoll> polls;
    {
        const std::lock_guard lock(m_mutex);
        polls = m_marks.polls();
    }
    for (auto &poll : polls) {
        m_peers.sendValue(to, PeerTopic::Maintenance,
                          MaintenanceMessage(KnownMarks{std::move(poll)}));
    }
}

// Takes the marks over before counting, so that the counts can only fall afterwards.
DrainAnswer DrainCoordinator::answer(const DrainPoll &poll)
{
    const std::lock_guard lock(m_mutex);
    if (m_marks.take(poll)) {
        m_hooks.setLeaving(m_marks.workers());
    }
    DrainAnswer answer;
    answer.scope = poll.scope;
    for (const auto &mark : m_marks.marks(poll.scope)) {
        m_hooks.closeIdleConnections(mark.worker);
        const auto connections = static_cast<std::uint32_t>(m_hooks.openConnections(mark.worker));
        answer.states.push_back({mark, m_hooks.inFlight(mark.worker), connections});
    }
    return answer;
}

std::vector<EntryId> DrainCoordinator::allEntries(const EntryRecords &records) const
{
    const auto self = m_peers.self().entry;
    std::vector<EntryId> peers;
    for (const auto &peer : m_peers.peers()) {
        peers.push_back(peer.entry);
    }
    auto entries = entriesToAwait(peers, records);
    if (std::find(entries.begin(), entries.end(), self) == entries.end()) {
        entries.push_back(self);
    }
    return entries;
}

} // namespace cyclamenlatch::maintenance
