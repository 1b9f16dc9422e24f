// Keeps the newest poll of each scope.
#include "maintenance/leavingmarks.h"

namespace cyclamenlatch::maintenance {

bool LeavingMarks::take(const DrainPoll &poll)
{
    auto &newest = m_newest[poll.scope];
    if (poll.revision < newest.revision) {
        return false;
    }
    newest = poll;
    return true;
}

std::set<WorkerId> LeavingMarks::workers() const
{
    std::set<WorkerId> workers;
    for (const auto &[scope, poll] : m_newest) {
        for (const auto &mark : poll.marks) {
            workers.insert(mark.worker);
        }
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
