// Stored records: the progress of jobs, and the ends of runs that targets may then forget.
#include "scheduling/ownercore.h"

#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::TaskPhase;

namespace {

// Delay of results that a caller waits for, so that jobs that end together share a call.
constexpr std::chrono::milliseconds urgentFlushDelay{10};
// Delay of other results, so that more of them share a call; the platform requires that ends are
// stored within seconds.
constexpr std::chrono::milliseconds flushDelay{300};
// After the store did not take a record.
constexpr std::chrono::seconds rejectedRetryDelay{2};
// Steps of done occurrences that a record lists one by one. Beyond that, entries of versions that
// don't know ranges would fail for the record's size before long.
constexpr std::size_t maxListedSteps = 1000;
// The same for the tasks of these steps.
constexpr std::size_t maxListedTasks = 4000;

StepProgress progressOf(const detail::StepState &step)
{
    StepProgress progress;
    if (!step.gangFailedAttempts.empty()) {
        progress.failedAttempts[0] = step.gangFailedAttempts;
    }
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const auto &task = step.tasks[index];
        if (task.phase == TaskPhase::Done) {
            progress.done.push_back(index);
            continue;
        }
        if (!task.failedAttempts.empty()) {
            progress.failedAttempts[index] = task.failedAttempts;
        }
        if (!task.checkpoint.empty()) {
            progress.checkpoints[index] = task.checkpoint;
        }
    }
    return progress;
}

} // namespace

void OwnerCore::markDirty(JobState &job, bool isUrgent, TimePoint now)
{
    if (!job.isDirty) {
        job.isDirty = true;
        m_dirtySince = m_dirty.empty() ? now : m_dirtySince;
        m_dirty.push_back(job.submission.id);
    }
    if (isUrgent && !std::exchange(job.isUrgent, true) && !m_urgentSince) {
        m_urgentSince = now;
    }
}

std::optional<TimePoint> OwnerCore::flushDue(TimePoint) const
{
    if (m_urgentSince) {
        return *m_urgentSince + urgentFlushDelay;
    }
    if (!m_dirty.empty()) {
        return m_dirtySince + flushDelay;
    }
    return m_uncoveredSince ? std::optional(*m_uncoveredSince + flushDelay) : std::nullopt;
}

Flush OwnerCore::takeFlush()
{
    Flush flush;
    for (const auto id : m_dirty) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        auto &job = *found->second;
        job.isDirty = false;
        job.isUrgent = false;
        ProgressWrite write;
        write.id = id;
        write.queue = job.submission.queue;
        write.expected = job.revision;
        write.progress.phase = job.phase;
        write.removesWaitingMark = job.hasWaitingMark && job.phase != JobPhase::Queued;
        job.targetsInFlush = job.targets.size();
        job.isMarkRemovalInFlush = write.removesWaitingMark;
        write.removesSubmission = isFinal(job.phase);
        if (!isFinal(job.phase)) {
            write.progress.targets = job.targets;
            write.progress.steps = job.loaded.steps;
            write.progress.doneOccurrences = job.loaded.doneOccurrences;
            for (const auto &[number, occurrence] : job.occurrences) {
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    auto progress = progressOf(occurrence.steps[step]);
                    if (progress.done.empty() && progress.failedAttempts.empty()
                        && progress.checkpoints.empty()) {
                        write.progress.steps.erase({number, step});
                    } else {
                        write.progress.steps[{number, step}] = std::move(progress);
                    }
                }
            }
        }
        flush.writes.push_back(std::move(write));
    }
    m_dirty.clear();
    m_urgentSince.reset();
    m_uncoveredSince.reset();
    for (const auto &[id, target] : m_targets) {
        if (target->endsSeen > target->endsRecorded) {
            flush.endsCovered[id] = target->endsSeen;
            flush.incarnations[id] = target->incarnation;
        }
    }
    return flush;
}

void OwnerCore::jobWritten(JobNumber id, std::optional<std::uint64_t> revision, TimePoint now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    if (!revision) {
        return jobCancelled(id, now);
    }
    auto &job = *found->second;
    job.revision = *revision;
    if (job.targetsInFlush > job.storedTargets) {
        job.storedTargets = job.targetsInFlush;
        m_jobsWithNewTargets.push_back(id);
    }
    job.hasWaitingMark = job.hasWaitingMark && !job.isMarkRemovalInFlush;
    if (isFinal(job.phase) && !job.isDirty) {
        m_jobs.erase(found);
        recordEndedJob(id, now);
    }
}

void OwnerCore::jobRejected(JobNumber id, Flush &flush, TimePoint now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    for (const auto &target : found->second->targets) {
        flush.endsCovered.erase(target);
    }
    m_rejected[id] = now + rejectedRetryDelay;
}

void OwnerCore::retryRejected(TimePoint now)
{
    for (auto at = m_rejected.begin(); at != m_rejected.end();) {
        if (at->second > now) {
            ++at;
            continue;
        }
        if (const auto job = m_jobs.find(at->first); job != m_jobs.end()) {
            markDirty(*job->second, false, now);
        }
        at = m_rejected.erase(at);
    }
}

// The done occurrences of a job with many become ranges, so that its record stays small.
void OwnerCore::compactDoneOccurrences(JobState &job)
{
    std::size_t tasks = 0;
    for (const auto &step : job.submission.spec.steps) {
        tasks += step.count;
    }
    const auto maxSteps = std::clamp<std::size_t>(maxListedTasks * job.submission.spec.steps.size()
                                                          / std::max<std::size_t>(tasks, 1),
                                                  1, maxListedSteps);
    if (job.loaded.steps.size() < job.stepsKeptListed + maxSteps) {
        return;
    }
    auto &ranges = job.loaded.doneOccurrences;
    ranges.clear();
    for (std::uint32_t number = 0; number < job.occurrenceDone.size(); ++number) {
        if (!job.occurrenceDone[number]) {
            continue;
        }
        if (!ranges.empty() && ranges.back().second + 1 == number) {
            ranges.back().second = number;
        } else {
            ranges.emplace_back(number, number);
        }
    }
    std::erase_if(job.loaded.steps, [&](const auto &item) {
        return item.first.first < job.occurrenceDone.size() && job.occurrenceDone[item.first.first];
    });
    job.stepsKeptListed = job.loaded.steps.size();
}

void OwnerCore::flushDone(const Flush &flush, TimePoint)
{
    for (const auto &[id, covered] : flush.endsCovered) {
        auto *target = findTarget(id);
        if (target != nullptr && target->incarnation == flush.incarnations.at(id)) {
            target->endsRecorded = std::max(target->endsRecorded, covered);
        }
    }
}

} // namespace cyclamenlatch::scheduling
