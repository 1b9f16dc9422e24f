// Jobs and their steps: arrival, opening of steps, and ends.
#include "scheduling/ownercore.h"

#include "scheduling/internal/criticalpath.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::TaskPhase;

OwnerCore::OwnerCore(OwnerSettings settings, TimePoint now, Listener listener)
    : m_settings(std::move(settings))
    , m_began(now)
    , m_listener(std::move(listener))
    , m_runTimes(m_settings.maxRunTimeKinds)
{}

OwnerCore::~OwnerCore() = default;

void OwnerCore::reportDecision(Decision::Kind kind, const TaskRef &task, std::uint32_t attempt,
                               const std::string &target, std::string detail)
{
    if (m_listener) {
        m_listener(Decision{kind, task, attempt, target, std::move(detail), std::nullopt});
    }
}

void OwnerCore::jobArrived(JobSubmission submission, JobProgress progress, std::uint64_t revision,
                           std::uint64_t submittedAt, bool isNew, TimePoint now, WallTime wallNow)
{
    if (m_jobs.contains(submission.id) || m_ended.contains(submission.id)
        || isFinal(progress.phase)) {
        return;
    }
    auto job = std::make_unique<JobState>();
    job->submission = std::move(submission);
    job->phase = progress.phase;
    job->hasWaitingMark = progress.phase == JobPhase::Queued;
    job->loaded = std::move(progress);
    job->isNew = isNew;
    job->targets = job->loaded.targets;
    job->storedTargets = job->targets.size();
    job->revision = revision;
    job->submittedAt = submittedAt;
    job->arrived = now;
    if (!job->submission.spec.isLongRunning()) {
        m_lastShortJob = now;
        if (isNew) {
            countArrival(*job, now);
        }
    }
    job->occurrenceDone.assign(job->submission.spec.occurrenceCount(), false);
    for (const auto &[first, last] : job->loaded.doneOccurrences) {
        for (auto number = first; number <= last && number < job->occurrenceDone.size(); ++number) {
            job->occurrencesDone += job->occurrenceDone[number] ? 0 : 1;
            job->occurrenceDone[number] = true;
        }
    }
    learnLimits(job->submission);
    if (const auto *workspace = workspaceLimits(job->submission.workspace)) {
        // A burst of up to one second at the rate is allowed.
        auto &bucket = m_startTokenBuckets[job->submission.workspace];
        const double rate = std::max(workspace->weight, 1.0);
        bucket.jobs =
                bucket.refilled == TimePoint{}
                        ? rate
                        : std::min(rate, bucket.jobs + rate * toSeconds(now - bucket.refilled));
        bucket.refilled = now;
        job->isExcess = bucket.jobs < 1;
        bucket.jobs = std::max(bucket.jobs - 1, 0.0);
    }
    const auto id = job->submission.id;
    const auto &steps = job->submission.spec.steps;
    if (std::any_of(steps.begin(), steps.end(), isCopyable)) {
        m_copyableJobs.insert(id);
    }
    if (job->submission.spec.isTimed()) {
        m_timedJobs.insert(id);
    }
    m_wallRead = wallNow;
    m_wallReadAt = now;
    auto &added = *m_jobs.emplace(id, std::move(job)).first->second;
    openDue(added, now, wallNow);
    const bool isAwaited = std::any_of(
            m_unassignedTargets.begin(), m_unassignedTargets.end(),
            [&](const auto &item) { return item.second.service == added.submission.service; });
    if (isAwaited) {
        listUnassignedTargets(now);
    }
}

void OwnerCore::jobCancelled(JobNumber id, TimePoint now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    const auto node = m_jobs.extract(found);
    recordEndedJob(id, now);
    stopRunsOf(*node.mapped(), now);
}

void OwnerCore::recordEndedJob(JobNumber id, TimePoint now)
{
    // Longer than any list takes: a page times out after 20 s and is requested again four times.
    constexpr std::chrono::seconds maxListTime{120};
    while (!m_endedAt.empty() && now - m_endedAt.front().first > maxListTime) {
        m_ended.erase(m_endedAt.front().second);
        m_endedAt.pop_front();
    }
    if (m_ended.insert(id).second) {
        m_endedAt.emplace_back(now, id);
    }
}

bool OwnerCore::arrivedBefore(JobNumber id, std::uint64_t revision) const
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && found->second->submittedAt <= revision;
}

std::vector<JobNumber> OwnerCore::jobs() const
{
    std::vector<JobNumber> ids;
    ids.reserve(m_jobs.size());
    for (const auto &[id, job] : m_jobs) {
        ids.push_back(id);
    }
    return ids;
}

const JobSubmission *OwnerCore::submission(JobNumber id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second->submission;
}

void OwnerCore::openSteps(JobState &job, OccurrenceState &occurrence, TimePoint now)
{
    m_openJobs.insert(job.submission.id);
    for (auto &step : occurrence.steps) {
        if (step.isOpen) {
            continue;
        }
        step.isOpen = std::all_of(step.spec->after.begin(), step.spec->after.end(),
                                  [&](std::uint32_t before) {
                                      const auto &other = occurrence.steps[before];
                                      return other.done == other.spec->count;
                                  });
        if (step.isOpen) {
            for (auto &task : step.tasks) {
                task.waitingSince = now;
            }
        }
    }
}

OwnerCore::StepState *OwnerCore::findStep(const TaskRef &task, JobState **job,
                                          OccurrenceState **occurrence) const
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end()) {
        return nullptr;
    }
    const auto at = found->second->occurrences.find(task.occurrence);
    if (at == found->second->occurrences.end() || task.step >= at->second.steps.size()) {
        return nullptr;
    }
    if (job != nullptr) {
        *job = found->second.get();
    }
    if (occurrence != nullptr) {
        *occurrence = &at->second;
    }
    return &at->second.steps[task.step];
}

OwnerCore::TaskState *OwnerCore::findTask(const TaskRef &task, JobState **job,
                                          StepState **step) const
{
    auto *found = findStep(task, job, nullptr);
    if (found == nullptr || task.index >= found->tasks.size()) {
        return nullptr;
    }
    if (step != nullptr) {
        *step = found;
    }
    return &found->tasks[task.index];
}

void OwnerCore::markDone(JobState &job, OccurrenceState &occurrence, StepState &step,
                         std::uint32_t index, TimePoint now)
{
    auto &task = step.tasks[index];
    if (task.phase == TaskPhase::Done) {
        return;
    }
    --(task.phase == TaskPhase::Waiting ? step.waiting : step.ordered);
    // Another run turned out to be done, an earlier one or a copy, so those that go on are no
    // longer needed.
    const TaskRef ref{job.submission.id, occurrence.number,
                      static_cast<std::uint32_t>(&step - occurrence.steps.data()), index};
    for (auto *target : {task.target, task.copyTarget}) {
        const auto run =
                target == nullptr ? decltype(target->runs.find(ref)){} : target->runs.find(ref);
        if (target == nullptr || run == target->runs.end()) {
            continue;
        }
        if (task.copyTarget != nullptr) {
            reportDecision(Decision::Kind::CopyStopped, ref, run->second.attempt, target->info.id,
                           "the other run has ended");
        }
        stopRun(*target, ref, run->second, now);
    }
    task.phase = TaskPhase::Done;
    task.target = nullptr;
    task.copyTarget = nullptr;
    task.checkpoint.clear();
    ++step.done;
    markDirty(job, false, now);
    if (step.done != step.spec->count) {
        return;
    }
    ++occurrence.stepsDone;
    if (occurrence.stepsDone != occurrence.steps.size()) {
        return openSteps(job, occurrence, now);
    }
    const auto number = occurrence.number;
    for (std::uint32_t other = 0; other < occurrence.steps.size(); ++other) {
        auto &progress = job.loaded.steps[{number, other}];
        progress = StepProgress{};
        for (std::uint32_t done = 0; done < occurrence.steps[other].tasks.size(); ++done) {
            progress.done.push_back(done);
        }
    }
    job.occurrences.erase(number);
    job.occurrenceDone[number] = true;
    compactDoneOccurrences(job);
    if (++job.occurrencesDone == job.submission.spec.occurrenceCount()) {
        finishJob(job, JobPhase::Completed, now);
    }
}

void OwnerCore::finishJob(JobState &job, JobPhase phase, TimePoint now)
{
    job.phase = phase;
    markDirty(job, true, now);
    reportDecision(Decision::Kind::JobEnded, TaskRef{job.submission.id}, 0, {},
                   std::string(jobPhaseNames.name(phase)));
    stopRunsOf(job, now);
}

// Has an ordered task wait for another start.
void OwnerCore::requeueTask(JobState &job, StepState &step, TaskState &task, TimePoint now)
{
    if (task.phase != TaskPhase::Ordered) {
        return;
    }
    task.phase = TaskPhase::Waiting;
    task.target = nullptr;
    task.isAtWork = false;
    task.waitingSince = now;
    --step.ordered;
    ++step.waiting;
    m_openJobs.insert(job.submission.id);
}

void OwnerCore::detachRun(JobState &job, StepState &step, TaskState &task,
                          const TargetState &target, TimePoint now)
{
    if (task.copyTarget == &target) {
        task.copyTarget = nullptr;
    } else if (task.target == &target && task.copyTarget != nullptr) {
        task.target = std::exchange(task.copyTarget, nullptr);
    } else if (task.target == &target) {
        requeueTask(job, step, task, now);
    }
}

void OwnerCore::recordTargetFailure(TargetState &target, JobNumber job, TimePoint now)
{
    // Repeated failures of a single job may be caused by the job itself.
    if (target.consecutiveFailures == 0 || target.lastFailedJob != job) {
        ++target.consecutiveFailures;
    }
    target.lastFailedJob = job;
    // Three failed jobs in a row without a success: at the usual failure rate of a few percent the
    // probability of that on a sound target is below one in ten thousand.
    constexpr std::uint32_t quarantineFailures = 3;
    constexpr std::chrono::seconds quarantineTime{4};
    if (target.consecutiveFailures >= quarantineFailures) {
        target.quarantinedUntil = now + quarantineTime;
        // One more failure after the quarantine is enough for the next one.
        target.consecutiveFailures = quarantineFailures - 1;
        target.lastFailedJob = 0;
        reportDecision(Decision::Kind::TargetQuarantined, TaskRef{job}, 0, target.info.id,
                       "fails the work that it starts");
    }
}

} // namespace cyclamenlatch::scheduling
