// Compares counts with bounds.
#include "jobs/waitingbound.h"

#include <fmt/format.h>

namespace cyclamenlatch::jobs {

void WaitingBound::take(const WaitingMessage &message)
{
    const std::lock_guard lock(m_mutex);
    m_waiting.clear();
    for (const auto &count : message.counts) {
        m_waiting[count.workspace] = count.jobs;
    }
}

Result<void> WaitingBound::admit(const WorkspaceId &workspace, unsigned most)
{
    const std::lock_guard lock(m_mutex);
    auto &waiting = m_waiting[workspace];
    if (waiting >= most) {
        return failure(ErrorKind::Overloaded,
                       fmt::format("{} jobs of the workspace wait, as many as may", waiting),
                       "send it again when some have started, or cancel some");
    }
    ++waiting;
    return success();
}

} // namespace cyclamenlatch::jobs
