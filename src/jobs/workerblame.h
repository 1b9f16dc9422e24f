// Tells whose fault failures are: a job that fails on many workers is at fault itself, a worker
// on which many jobs fail is. Derived from the records alone, so that nothing is lost when
// another entry goes on.
#pragma once

#include "jobs/jobpolicy.h"
#include "jobs/jobrecord.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cyclamenlatch::jobs {

class WorkerBlame
{
public:
    WorkerBlame() = default;
    WorkerBlame(const std::vector<const JobRecord *> &jobs, const JobPolicy &policy, WallTime now);

    bool isBlamed(const WorkerId &worker) const { return m_blamed.contains(worker); }
    const std::unordered_set<WorkerId> &blamed() const { return m_blamed; }
    // Different workers, none of them blamed, on which the job failed within the window.
    std::size_t faultlessWorkers(const JobRecord &record) const;

private:
    std::unordered_set<WorkerId> m_blamed;
};

} // namespace cyclamenlatch::jobs
