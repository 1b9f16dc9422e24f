// Keeps the newest poll of each scope, and the lifted marks whose outcome is not known.
#include "maintenance/leavingmarks.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::maintenance {

bool LeavingMarks::take(const DrainPoll &poll)
{
    auto &newest = m_newest[poll.scope];
    if (poll.revision < newest.revision) {
        return false;
    }
    if (poll.scope == poolScope) {
        holdLifted(newest, poll);
    }
    newest = poll;
    return true;
}

void LeavingMarks::noteRead(store::StoreRevision revision,
                            std::unordered_map<WorkerId, store::StoreRevision> records)
{
    m_readRevision = revision;
    m_readRecords = std::move(records);
    dropKnown();
}

void LeavingMarks::holdLifted(const DrainPoll &older, const DrainPoll &newer)
{
    for (const auto &mark : older.marks) {
        const bool stays = std::ranges::any_of(
                newer.marks, [&](const LeavingMark &other) { return other.worker == mark.worker; });
        if (!stays) {
            m_lifted[mark.worker] = {mark, newer.revision};
        }
    }
    dropKnown();
}

bool LeavingMarks::knowsWhatFollowed(const Lifted &lifted) const
{
    if (m_readRevision >= lifted.revision) {
        return true;
    }
    const auto record = m_readRecords.find(lifted.mark.worker);
    return record != m_readRecords.end() && record->second > lifted.mark.revision;
}

void LeavingMarks::dropKnown()
{
    std::erase_if(m_lifted, [this](const auto &item) { return knowsWhatFollowed(item.second); });
}

std::set<WorkerId> LeavingMarks::workers() const
{
    std::set<WorkerId> workers;
    for (const auto &[scope, poll] : m_newest) {
        for (const auto &mark : poll.marks) {
            workers.insert(mark.worker);
        }
    }
    for (const auto &[worker, lifted] : m_lifted) {
        workers.insert(worker);
    }
    return workers;
}

const std::vector<LeavingMark> &LeavingMarks::marks(const std::string &scope) const
{
    static const std::vector<LeavingMark> none;
    const auto found = m_newest.find(scope);
    return found == m_newest.end() ? none : found->second.marks;
}

std::vector<DrainPoll> LeavingMarks::polls() const
{
    std::vector<DrainPoll> polls;
    for (const auto &[scope, poll] : m_newest) {
        polls.push_back(poll);
    }
    return polls;
}

} // namespace cyclamenlatch::maintenance
