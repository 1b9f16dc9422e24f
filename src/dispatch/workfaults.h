// Distinguishes work that fails on every worker from workers on which all work fails. Stores for a
// limited time on which workers the same work failed; if it failed on several, the work is at
// fault. Reads no clock.
#pragma once

#include "global/ids.h"
#include "global/time.h"

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>

namespace cyclamenlatch::dispatch {

// Hash over a request's queue, workspace and body.
using WorkSignature = std::uint64_t;

class WorkFaults
{
public:
    // Records a failure and returns whether the work is at fault: it has failed on at least
    // minWorkers distinct workers and succeeded on none.
    bool addFailure(WorkSignature work, const WorkerId &worker, unsigned minWorkers, TimePoint now);
    void addSuccess(WorkSignature work);
    bool isAtFault(WorkSignature work, unsigned minWorkers) const;

private:
    void removeExpired(TimePoint now);

    std::unordered_map<WorkSignature, std::set<WorkerId>> m_failedOn;
    // Time at which each signature first failed, oldest first.
    std::deque<std::pair<TimePoint, WorkSignature>> m_firstFailures;
};

} // namespace cyclamenlatch::dispatch
