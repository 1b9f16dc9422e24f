// Counts different jobs that failed and jobs that completed per worker.
#include "jobs/workerblame.h"

#include <set>
#include <unordered_map>

namespace cyclamenlatch::jobs {

namespace {

struct WorkerCounts
{
    std::size_t failedJobs = 0;
    std::size_t completedJobs = 0;
};

std::set<WorkerId> failedOn(const JobRecord &record, const JobPolicy &policy, WallTime now)
{
    std::set<WorkerId> workers;
    for (const auto &failure : record.failures) {
        if (failure.at + policy.blameWindow > now) {
            workers.insert(failure.worker);
        }
    }
    return workers;
}

} // namespace

WorkerBlame::WorkerBlame(const std::vector<const JobRecord *> &jobs, const JobPolicy &policy,
                         WallTime now)
{
    std::unordered_map<WorkerId, WorkerCounts> counts;
    for (const auto *job : jobs) {
        if (job->failures.empty() && job->state != JobState::Completed) {
            continue;
        }
        const auto workers = failedOn(*job, policy, now);
        // A job that fails wherever it runs says nothing about the workers.
        if (workers.size() < policy.workersToBlameJob) {
            for (const auto &worker : workers) {
                ++counts[worker].failedJobs;
            }
        }
        if (job->state == JobState::Completed && job->enteredAt + policy.blameWindow > now) {
            ++counts[job->worker].completedJobs;
        }
    }
    for (const auto &[worker, count] : counts) {
        if (count.failedJobs >= policy.jobsToBlameWorker
            && count.failedJobs >= count.completedJobs) {
            m_blamed.insert(worker);
        }
    }
}

std::size_t WorkerBlame::faultlessWorkers(const JobRecord &record) const
{
    std::set<WorkerId> workers;
    for (const auto &failure : record.failures) {
        if (!isBlamed(failure.worker)) {
            workers.insert(failure.worker);
        }
    }
    return workers.size();
}

} // namespace cyclamenlatch::jobs
