// Tells work that fails on every worker from workers that fail all work. Remembers for a while on
// which workers the same work failed; when they are many, the fault is the work's. Pure.
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
    // Notes a failure and returns whether the work is at fault: it has failed on at least
    // minWorkers distinct workers and succeeded on none.
    bool addFailure(WorkSignature work, const WorkerId &worker, unsigned minWorkers, TimePoint now);
    void addSuccess(WorkSignature work);
    bool isAtFault(WorkSignature work, unsigned minWorkers) const;

private:
    void forgetOld(TimePoint now);

    std::unordered_map<WorkSignature, std::set<WorkerId>> m_failedOn;
    // When each signature was first noted, oldest first.
    std::deque<std::pair<TimePoint, WorkSignature>> m_notedAt;
};

} // namespace cyclamenlatch::dispatch
