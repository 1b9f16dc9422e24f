// Runs: handles the answers to orders, and the active and ended runs that targets report.
#include "scheduling/ownercore.h"

#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;
using detail::TaskPhase;

namespace {

// Progress that a long-running task reports while it is at work.
constexpr int atWorkPercent = 100;

std::uint32_t startsUnderWay(RunPhase phase)
{
    return phase == RunPhase::Running || phase == RunPhase::Stopping ? 0 : 1;
}

} // namespace

OwnerCore::RunState &OwnerCore::addRun(TargetState &target, const TaskRef &task,
                                       const JobState &job, const StepSpec &spec, RunState run)
{
    run.workspace = job.submission.workspace;
    run.usesSpareProcessors = spec.usesSpareProcessors;
    run.isLatencySensitive = spec.isLatencySensitive();
    run.isLongRunning = spec.isLongRunning;
    run.tailLatencyBound = spec.tailLatencyBound;
    run.resources = spec.allocatedResources();
    target.used += run.resources;
    auto &used = m_used[run.workspace];
    used.resources += run.resources;
    used.startsUnderWay += startsUnderWay(run.phase);
    return target.runs.emplace(task, std::move(run)).first->second;
}

void OwnerCore::dropRun(TargetState &target, const TaskRef &task)
{
    const auto found = target.runs.find(task);
    if (found == target.runs.end()) {
        return;
    }
    target.orphanedRuns -= found->second.isOrphaned ? 1 : 0;
    target.used -= found->second.resources;
    auto &used = m_used[found->second.workspace];
    used.resources -= found->second.resources;
    used.startsUnderWay -= startsUnderWay(found->second.phase);
    target.runs.erase(found);
}

void OwnerCore::setPhase(RunState &run, RunPhase phase)
{
    auto &used = m_used[run.workspace];
    used.startsUnderWay -= startsUnderWay(run.phase);
    used.startsUnderWay += startsUnderWay(phase);
    run.phase = phase;
}

// Removes a run that ended without a result; its task waits for another start.
void OwnerCore::releaseRun(TargetState &target, const TaskRef &task, TimePoint now)
{
    dropRun(target, task);
    JobState *job = nullptr;
    StepState *step = nullptr;
    if (auto *state = findTask(task, &job, &step); state != nullptr) {
        detachRun(*job, *step, *state, target, now);
    }
}

bool OwnerCore::mayStartLater(const RunState &run)
{
    return run.phase == RunPhase::Starting || run.phase == RunPhase::OutcomeUnknown
           || run.pendingCalls > 0 || run.callLostAt;
}

bool OwnerCore::mayRunOnLaterIncarnation(const TargetState &target, const RunState &run,
                                         TimePoint now) const
{
    const bool hasRestarted = run.life != target.life || entryNamesLaterIncarnation(target);
    // An entry may be late. Long-running tasks must be back soon, so they wait only if it tells.
    if (!mayStartLater(run) || (run.isLongRunning && !hasRestarted)) {
        return false;
    }
    const auto lastCall = std::max(
            {run.startSentAt, run.callLostAt.value_or(TimePoint{}), target.leaseCallLostAt});
    return run.pendingCalls > 0 || !hasLeaseExpired(lastCall, m_settings.longestLease, now);
}

void OwnerCore::releaseRuns(TargetState &target, Decision::Kind kind, TimePoint now)
{
    std::vector<TaskRef> lost;
    for (auto &[task, run] : target.runs) {
        // An answer to a start does not tell which incarnation has carried it out; a later list
        // does.
        const bool wasListed = run.listedAt > run.answeredAt;
        if (kind == Decision::Kind::TargetRestarted && (mayStartLater(run) || !wasListed)) {
            // The start may reach the new incarnation before the first call that fences it off. The
            // list that answers that call tells.
            setPhase(run, run.phase == RunPhase::Running    ? RunPhase::Starting
                          : run.phase == RunPhase::Stopping ? RunPhase::OutcomeUnknown
                                                            : run.phase);
            run.stopSentAt.reset();
            run.stopAnsweredAt.reset();
            if (auto *state = findTask(task); state != nullptr && state->target == &target) {
                state->isAtWork = false;
            }
            continue;
        }
        if (kind == Decision::Kind::LeaseExpired && mayRunOnLaterIncarnation(target, run, now)) {
            continue;
        }
        lost.push_back(task);
    }
    for (const auto &task : lost) {
        reportDecision(kind, task, target.runs.at(task).attempt, target.info.id,
                       kind == Decision::Kind::LeaseExpired ? leaseText(target, now)
                                                            : std::string{});
        releaseRun(target, task, now);
    }
}

void OwnerCore::stopRun(TargetState &target, const TaskRef &task, RunState &run, TimePoint now)
{
    if (run.phase == RunPhase::Stopping || run.phase == RunPhase::OutcomeUnknown) {
        return;
    }
    setPhase(run, run.phase == RunPhase::Running ? RunPhase::Stopping : RunPhase::OutcomeUnknown);
    if (auto *state = findTask(task); state != nullptr && state->target == &target) {
        state->isAtWork = false;
    }
    run.stopSentAt = now;
    run.stopAnsweredAt.reset();
    m_orders.emplace_back(stopOrder(target, task, run));
    scheduleForPlanning(target);
}

StopOrder OwnerCore::stopOrder(TargetState &target, const TaskRef &ref, const RunState &run) const
{
    StopOrder order{target.info.id, ref, run.attempt};
    detail::address(order, target, fencingToken(target.info.id));
    return order;
}

void OwnerCore::stopRunsOf(const JobState &job, TimePoint now)
{
    for (const auto &id : job.targets) {
        auto *target = findTarget(id);
        if (target == nullptr) {
            continue;
        }
        for (auto &[task, run] : target->runs) {
            if (task.job == job.submission.id) {
                stopRun(*target, task, run, now);
            }
        }
    }
}

void OwnerCore::handleRunEnd(TargetState &target, const EndedRun &end, TimePoint now)
{
    reportDecision(Decision::Kind::Ended, end.task, end.attempt, target.info.id,
                   end.outcome == RunOutcome::Done     ? "done"
                   : end.outcome == RunOutcome::Failed ? "failed"
                                                       : "cut short");
    const auto found = target.runs.find(end.task);
    const bool isCurrent = found != target.runs.end() && found->second.attempt == end.attempt;
    const auto run = isCurrent ? found->second : RunState{};
    if (isCurrent) {
        dropRun(target, end.task);
    }
    openReported(end.task, now);
    JobState *job = nullptr;
    OccurrenceState *occurrence = nullptr;
    auto *step = findStep(end.task, &job, &occurrence);
    if (step == nullptr || end.task.index >= step->tasks.size()) {
        return;
    }
    if (job->phase == JobPhase::Queued) {
        job->phase = JobPhase::Running;
        markDirty(*job, false, now);
    }
    auto &task = step->tasks[end.task.index];
    if (!end.checkpoint.empty() && task.phase != TaskPhase::Done) {
        if (step->spec->isGang) {
            for (auto &member : step->tasks) {
                member.checkpoint = end.checkpoint;
            }
        }
        task.checkpoint = end.checkpoint;
        markDirty(*job, false, now);
    }
    if (run.isWholeRun) {
        learnRunTime(target, run, *job, end, now);
    }
    if (end.outcome == RunOutcome::Done && !step->spec->isLongRunning) {
        target.consecutiveFailures = 0;
        if (!step->spec->isGang) {
            return markDone(*job, *occurrence, *step, end.task.index, now);
        }
        // The end of one member ends the whole gang. Marking its last task as done may end the
        // job's occurrence and so invalidate the step.
        const auto count = step->spec->count;
        for (std::uint32_t index = 0; index < count && !isFinal(job->phase); ++index) {
            auto *member = findStep(end.task, nullptr, &occurrence);
            if (member == nullptr) {
                return;
            }
            member->tasks[index].target = nullptr;
            markDone(*job, *occurrence, *member, index, now);
        }
        return;
    }
    if (isCurrent) {
        detachRun(*job, *step, task, target, now);
    }
    if (end.outcome == RunOutcome::Failed) {
        handleRunFailure(target, *job, *step, end, now);
    }
}

void OwnerCore::handleRunFailure(TargetState &target, JobState &job, StepState &step,
                                 const EndedRun &end, TimePoint now)
{
    auto &task = step.tasks[end.task.index];
    if (task.phase == TaskPhase::Done) {
        return;
    }
    task.failedOn = target.info.id;
    recordTargetFailure(target, job.submission.id, now);
    if (step.spec->isLongRunning) {
        return;
    }
    auto &failed = step.spec->isGang ? step.gangFailedAttempts : task.failedAttempts;
    if (std::find(failed.begin(), failed.end(), end.attempt) != failed.end()) {
        return;
    }
    failed.push_back(end.attempt);
    markDirty(job, false, now);
    if (attemptsLeft(job, step, task) == AttemptsLeft::Unknown) {
        reportDecision(Decision::Kind::AttemptLimitUnknown, end.task, end.attempt, target.info.id,
                       "waits until the configuration names the queue");
    }
    checkAttempts(job, step, end.task, now);
}

void OwnerCore::handleRunStatus(TargetState &target, const RunStatus &row, TimePoint sentAt,
                                TimePoint now)
{
    const auto found = target.runs.find(row.task);
    if (found == target.runs.end() || found->second.attempt < row.attempt
        || found->second.phase == RunPhase::Allocated) {
        return adopt(target, row, now);
    }
    auto &run = found->second;
    if (run.attempt > row.attempt && run.life != target.life) {
        // The start of the later attempt was for an earlier incarnation; this one refuses it.
        releaseRun(target, row.task, now);
        return adopt(target, row, now);
    }
    run.lastReportNumber = target.lists;
    run.life = target.life;
    if (run.attempt != row.attempt) {
        return;
    }
    run.listedAt = sentAt;
    if (run.phase == RunPhase::Starting) {
        setPhase(run, RunPhase::Running);
        run.confirmedAt = now;
    } else if (run.phase == RunPhase::OutcomeUnknown && run.stopAnsweredAt
               && *run.stopAnsweredAt < sentAt) {
        setPhase(run, RunPhase::Stopping);
    }
    if (row.percent != run.percent || run.progressAt == TimePoint{}) {
        run.progressAt = now;
    }
    run.percent = row.percent;
    run.metric = row.metric;
    if (auto *task = findTask(row.task); task != nullptr && task->target == &target) {
        task->isAtWork = row.percent >= atWorkPercent && run.phase == RunPhase::Running;
        if (!row.checkpoint.empty()) {
            task->checkpoint = row.checkpoint;
        }
    }
}

// Takes over a run that an earlier owner started, or whose start was given up. The run continues if
// its task is waiting, or as the copy of another run where the step allows that; otherwise it is
// stopped.
void OwnerCore::adopt(TargetState &target, const RunStatus &row, TimePoint now)
{
    openReported(row.task, now);
    JobState *job = nullptr;
    StepState *step = nullptr;
    auto *task = findTask(row.task, &job, &step);
    if (task != nullptr && task->target != nullptr) {
        // An allocated start that was not sent yet is replaced by the existing run.
        const auto allocatedRun = task->target->runs.find(row.task);
        if (allocatedRun != task->target->runs.end()
            && allocatedRun->second.phase == RunPhase::Allocated) {
            releaseRun(*task->target, row.task, now);
        }
    }
    dropRun(target, row.task);
    RunState run;
    run.lastReportNumber = target.lists;
    run.life = target.life;
    run.attempt = row.attempt;
    run.phase = RunPhase::Running;
    run.confirmedAt = now;
    run.listedAt = now;
    run.orderedAt = now;
    run.progressAt = now;
    run.percent = row.percent;
    run.metric = row.metric;
    // The report does not contain the run's pace, so the pace is ordered again where it matters.
    run.orderedPace = -1;
    run.paceOrderedAt = now;
    if (task == nullptr) {
        run.isOrphaned = true;
        ++target.orphanedRuns;
        auto &added = target.runs.emplace(row.task, std::move(run)).first->second;
        return stopRun(target, row.task, added, now);
    }
    auto &added = addRun(target, row.task, *job, *step->spec, std::move(run));
    addJobTarget(*job, target);
    reportDecision(Decision::Kind::Adopted, row.task, row.attempt, target.info.id);
    const bool isCopy = isCopyable(*step->spec) && task->phase == TaskPhase::Ordered
                        && task->copyTarget == nullptr && task->target != &target
                        && !isFinal(job->phase);
    if (isCopy) {
        task->copyTarget = &target;
        return;
    }
    if (task->phase != TaskPhase::Waiting || isFinal(job->phase)) {
        return stopRun(target, row.task, added, now);
    }
    task->phase = TaskPhase::Ordered;
    task->target = &target;
    task->adoptedAt = now;
    task->isAtWork = row.percent >= atWorkPercent;
    --step->waiting;
    ++step->ordered;
    if (!row.checkpoint.empty()) {
        task->checkpoint = row.checkpoint;
    }
    if (job->phase == JobPhase::Queued) {
        job->phase = JobPhase::Running;
        markDirty(*job, false, now);
    }
}

// Releases the runs that are missing from a report requested after they were known to run, and the
// stopped starts that were never carried out.
void OwnerCore::releaseLostRuns(TargetState &target, const KeepAliveReport &report,
                                TimePoint sentAt, TimePoint now)
{
    // A full page of ends may be incomplete; the next report is awaited.
    constexpr std::size_t maxEndsPerReport = 500;
    if (report.ends.size() >= maxEndsPerReport) {
        return;
    }
    std::vector<TaskRef> missing;
    for (const auto &[task, run] : target.runs) {
        if (run.lastReportNumber == target.lists) {
            continue;
        }
        const bool wasListed = (run.phase == RunPhase::Running || run.phase == RunPhase::Stopping)
                               && run.confirmedAt < sentAt;
        const bool wasNeverStarted = run.phase == RunPhase::OutcomeUnknown && run.stopAnsweredAt
                                     && *run.stopAnsweredAt < sentAt;
        // Ordered for an earlier incarnation, whose calls the target refuses now. One that may
        // still arrive could reach yet another incarnation, which has seen no token.
        const bool isFencedOff = run.life != target.life && run.pendingCalls == 0;
        if (wasListed || wasNeverStarted || isFencedOff) {
            missing.push_back(task);
        }
    }
    for (const auto &task : missing) {
        reportDecision(Decision::Kind::RunLost, task, target.runs.at(task).attempt, target.info.id);
        releaseRun(target, task, now);
    }
}

void OwnerCore::startAnswered(const StartOrder &order, OrderResult answer, TimePoint now)
{
    auto *target = findTarget(order.targetId);
    if (target == nullptr) {
        return;
    }
    const auto found = target->runs.find(order.task);
    if (found == target->runs.end() || found->second.attempt != order.attempt) {
        return;
    }
    auto &run = found->second;
    JobState *job = nullptr;
    StepState *step = nullptr;
    auto *task = findTask(order.task, &job, &step);
    const bool isRepeated = run.startCalls > 1;
    run.pendingCalls -= run.pendingCalls > 0 ? 1 : 0;
    run.answeredAt = now;
    const bool isOutdated = order.token != fencingToken(order.targetId);
    const bool wasDelivered =
            answer != OrderResult::NotSent && answer != OrderResult::TargetRestarted;
    if (answer == OrderResult::OutcomeUnknown || (isOutdated && wasDelivered)) {
        // It is not known which incarnation has carried it out, if any.
        run.callLostAt = now;
    }
    if (isOutdated && (wasDelivered || run.life == target->life)) {
        // The list that answers the first call with the present token tells whether the task runs.
        return;
    }
    if (isRepeated && answer == OrderResult::NotSent) {
        // The call does not count; the earlier ones may still be carried out.
        --run.startCalls;
        return;
    }
    if (isRepeated && answer == OrderResult::StaleAttempt) {
        // No later attempt was sent there, so an earlier call was carried out; the next report
        // shows its result.
        answer = OrderResult::Accepted;
    } else if (isRepeated && answer != OrderResult::Accepted
               && answer != OrderResult::TargetRestarted) {
        // An earlier call may still be carried out.
        answer = OrderResult::OutcomeUnknown;
    }
    switch (answer) {
    case OrderResult::Accepted:
        if (!isRepeated) {
            target->responseTime.addSample(now - run.startSentAt);
        }
        if (run.phase == RunPhase::Starting) {
            setPhase(run, RunPhase::Running);
            run.confirmedAt = now;
            run.progressAt = now;
            if (job != nullptr && job->phase == JobPhase::Queued) {
                job->phase = JobPhase::Running;
                markDirty(*job, false, now);
            }
        }
        return;
    case OrderResult::OutcomeUnknown:
        if (run.phase == RunPhase::Starting && run.pendingCalls == 0) {
            stopRun(*target, order.task, run, now);
        }
        return;
    case OrderResult::TargetRestarted:
        if (!isOutdated) {
            // The target gets no work until its next list shows what the new incarnation runs.
            forgetIncarnation(*target, now);
        }
        if (!target->runs.contains(order.task) || run.pendingCalls > 0 || run.callLostAt) {
            // The run was released, or an earlier call may have reached the new incarnation; the
            // list tells.
            return;
        }
        break;
    default:
        break;
    }
    reportDecision(Decision::Kind::StartRefused, order.task, order.attempt, order.targetId,
                   std::string(orderResultNames.name(answer)));
    dropRun(*target, order.task);
    if (answer == OrderResult::InvalidTicket && step != nullptr) {
        step->tickets.erase(order.targetId);
    } else if (answer != OrderResult::TargetRestarted) {
        // Keeps the next start from being sent to the same target at once.
        constexpr std::chrono::milliseconds quarantineAfterRefusal{500};
        target->quarantinedUntil = std::max(target->quarantinedUntil, now + quarantineAfterRefusal);
    }
    if (task == nullptr || (task->target != target && task->copyTarget != target)) {
        return;
    }
    detachRun(*job, *step, *task, *target, now);
    if (step->spec->isGang) {
        // Stops the other members of the gang, which would wait for this one in vain.
        for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
            auto &member = step->tasks[index];
            if (member.target == nullptr) {
                continue;
            }
            auto other = order.task;
            other.index = index;
            const auto memberRun = member.target->runs.find(other);
            if (memberRun != member.target->runs.end()) {
                stopRun(*member.target, other, memberRun->second, now);
            }
        }
    }
}

void OwnerCore::stopAnswered(const StopOrder &order, OrderResult answer, TimePoint now)
{
    auto *target = findTarget(order.targetId);
    if (target == nullptr) {
        return;
    }
    const auto found = target->runs.find(order.task);
    if (found == target->runs.end() || found->second.attempt != order.attempt) {
        return;
    }
    if (answer == OrderResult::Accepted || answer == OrderResult::StaleAttempt) {
        found->second.stopAnsweredAt = now;
        if (found->second.phase == RunPhase::Stopping) {
            found->second.confirmedAt = std::max(found->second.confirmedAt, now);
        }
    }
}

// Returns the target's index among the job's targets.
std::size_t OwnerCore::addJobTarget(JobState &job, const TargetState &target)
{
    auto &targets = job.targets;
    const auto known = std::find(targets.begin(), targets.end(), target.info.id);
    const auto index = static_cast<std::size_t>(known - targets.begin());
    if (known == targets.end()) {
        targets.push_back(target.info.id);
    }
    return index;
}

void OwnerCore::paceAnswered(const PaceOrder &order, OrderResult answer, TimePoint)
{
    auto *target = findTarget(order.targetId);
    const auto found = target == nullptr ? decltype(target->runs.find(order.task)){}
                                         : target->runs.find(order.task);
    if (target == nullptr || found == target->runs.end() || answer == OrderResult::Accepted) {
        return;
    }
    // The pace may not be in effect; the next plan orders it again.
    found->second.orderedPace = -1;
}

} // namespace cyclamenlatch::scheduling
