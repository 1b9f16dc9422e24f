// Refuses submissions of a workspace that has too many jobs waiting, so that nobody fills the
// store. Entries count by the leader's last message and what they took since, so that between two
// messages each may take a few too many; without a leader each takes the bound at most.
// Lock order: m_mutex is the only lock.
#pragma once

#include "global/result.h"
#include "jobs/waitingmessage.h"

#include <mutex>
#include <unordered_map>

namespace cyclamenlatch::jobs {

class WaitingBound
{
public:
    void take(const WaitingMessage &message);
    // Counts the job. Kind Overloaded: the workspace has the most jobs waiting that it may have.
    Result<void> admit(const WorkspaceId &workspace, unsigned most);

private:
    std::mutex m_mutex;
    // Guarded by m_mutex: by the last message, with those taken since.
    std::unordered_map<WorkspaceId, unsigned> m_waiting;
};

} // namespace cyclamenlatch::jobs
