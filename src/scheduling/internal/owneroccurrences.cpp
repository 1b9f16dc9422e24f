// Occurrences of jobs: which of those that are due are open, and what they begin with.
#include "scheduling/ownercore.h"

#include "scheduling/internal/criticalpath.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::TaskPhase;

namespace {

// A result is late after its objective, and of no use after this many times the time that its
// objective allows.
constexpr int usefulFactor = 3;
// Occurrences with tasks that wait, and these tasks, that one job may have open, and all jobs
// together that have more which are due. An open occurrence takes memory and time in each plan;
// the others are opened as these start.
constexpr std::size_t maxJobOccurrences = 64;
constexpr std::size_t maxJobTasks = 1000;
constexpr std::size_t maxFleetOccurrences = 2000;
constexpr std::size_t maxFleetTasks = 20000;

std::uint32_t countDue(const JobSpec &spec, WallTime wallNow)
{
    if (!spec.isTimed()) {
        return 1;
    }
    if (wallNow < spec.firstDue) {
        return 0;
    }
    if (spec.interval.count() <= 0) {
        return spec.repeatCount;
    }
    const auto intervals = (wallNow - spec.firstDue) / spec.interval;
    return static_cast<std::uint32_t>(
            std::min<std::int64_t>(intervals + 1, std::int64_t{spec.repeatCount}));
}

} // namespace

void OwnerCore::openDue(JobState &job, TimePoint now, WallTime wallNow)
{
    const auto &spec = job.submission.spec;
    const auto id = job.submission.id;
    job.occurrencesDue = countDue(spec, wallNow);
    std::optional<WaitingWork> waiting;
    while (job.nextOccurrence < job.occurrencesDue) {
        const auto number = job.nextOccurrence;
        if (!job.occurrenceDone[number] && !job.occurrences.contains(number)) {
            waiting = waiting ? waiting : std::optional(waitingWork(job));
            if (!hasRoomForOccurrence(*waiting)) {
                m_backloggedJobs.insert(id);
                return;
            }
        }
        ++job.nextOccurrence;
        if (const auto open = job.occurrences.find(number); open != job.occurrences.end()) {
            // A target has told of it before it was due here.
            open->second.startsFrom = now;
            m_openJobs.insert(id);
            continue;
        }
        openOccurrence(job, number, now, wallNow);
        if (isFinal(job.phase)) {
            break;
        }
        if (const auto open = job.occurrences.find(number);
            waiting && open != job.occurrences.end()) {
            waiting->add(open->second);
        }
    }
    m_backloggedJobs.erase(id);
}

OwnerCore::WaitingWork OwnerCore::waitingWork(const JobState &job)
{
    WaitingWork work;
    for (const auto &[number, occurrence] : job.occurrences) {
        work.add(occurrence);
    }
    return work;
}

void OwnerCore::WaitingWork::add(const OccurrenceState &occurrence)
{
    std::size_t waiting = 0;
    for (const auto &step : occurrence.steps) {
        waiting += step.waiting;
    }
    occurrences += waiting > 0 ? 1 : 0;
    tasks += waiting;
}

// The job always has an occurrence that may go on.
bool OwnerCore::hasRoomForOccurrence(const WaitingWork &work) const
{
    const auto jobs = std::max<std::size_t>(m_backloggedJobs.size(), 1);
    return work.occurrences == 0
           || (work.occurrences < std::min(maxJobOccurrences, maxFleetOccurrences / jobs)
               && work.tasks < std::min(maxJobTasks, maxFleetTasks / jobs));
}

void OwnerCore::openReported(const TaskRef &task, TimePoint now)
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end() || isFinal(found->second->phase)) {
        return;
    }
    auto &job = *found->second;
    const bool isClosed = task.occurrence < job.submission.spec.occurrenceCount()
                          && !job.occurrenceDone[task.occurrence]
                          && !job.occurrences.contains(task.occurrence);
    if (isClosed) {
        openOccurrence(job, task.occurrence, now, m_wallRead + toMilliseconds(now - m_wallReadAt));
    }
}

void OwnerCore::openOccurrence(JobState &job, std::uint32_t number, TimePoint now, WallTime wallNow)
{
    const auto &spec = job.submission.spec;
    if (job.occurrenceDone[number]) {
        if (job.occurrencesDone == spec.occurrenceCount()) {
            finishJob(job, JobPhase::Completed, now);
        }
        return;
    }
    OccurrenceState occurrence;
    occurrence.number = number;
    const auto due =
            spec.isTimed() ? spec.firstDue + spec.interval * number : job.submission.submitted;
    occurrence.startsFrom = spec.isTimed() && due > wallNow ? now + (due - wallNow) : now;
    // The wall clocks may differ, so an age of more than a minute is not trusted.
    const auto age = std::clamp<WallTime::duration>(wallNow - due, {}, std::chrono::minutes(1));
    const auto *queue = queueLimits(job.submission.queue);
    const double slack = queue == nullptr ? 1 : queue->slackFactor;
    const Duration allowed =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
                    slack * detail::longestPath(criticalPaths(job, now))))
            + (queue == nullptr ? Duration{} : Duration{queue->targetLatency});
    occurrence.objective = now - age + allowed;
    occurrence.usefulUntil = now - age + usefulFactor * allowed;
    occurrence.steps.resize(spec.steps.size());
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        auto &step = occurrence.steps[index];
        step.spec = &spec.steps[index];
        step.tasks.resize(step.spec->count);
        step.waiting = step.spec->count;
        const auto stored = job.loaded.steps.find({number, static_cast<std::uint32_t>(index)});
        if (stored == job.loaded.steps.end()) {
            continue;
        }
        const auto &progress = stored->second;
        for (const auto done : progress.done) {
            if (done < step.tasks.size() && step.tasks[done].phase == TaskPhase::Waiting) {
                step.tasks[done].phase = TaskPhase::Done;
                --step.waiting;
                ++step.done;
            }
        }
        for (const auto &[task, attempts] : progress.failedAttempts) {
            if (step.spec->isGang) {
                step.gangFailedAttempts = attempts;
            } else if (task < step.tasks.size()) {
                step.tasks[task].failedAttempts = attempts;
            }
        }
        for (const auto &[task, checkpoint] : progress.checkpoints) {
            if (task < step.tasks.size()) {
                step.tasks[task].checkpoint = checkpoint;
            }
        }
    }
    for (const auto &step : occurrence.steps) {
        occurrence.stepsDone += step.done == step.spec->count ? 1 : 0;
    }
    if (occurrence.stepsDone == occurrence.steps.size()) {
        job.occurrenceDone[number] = true;
        ++job.occurrencesDone;
        if (job.occurrencesDone == spec.occurrenceCount()) {
            finishJob(job, JobPhase::Completed, now);
        }
        return;
    }
    auto &added = job.occurrences.emplace(number, std::move(occurrence)).first->second;
    openSteps(job, added, now);
}

} // namespace cyclamenlatch::scheduling
