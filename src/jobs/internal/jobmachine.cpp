// Transitions of one job.
#include "jobs/jobmachine.h"

#include <fmt/format.h>

#include <algorithm>

namespace cyclamenlatch::jobs {

namespace {

using store::TaskCommand;
using store::TaskState;
using store::TaskStatus;

std::chrono::milliseconds retryDelay(std::size_t failures, const JobPolicy &policy, Random &random)
{
    constexpr std::size_t maxDoublings = 16;
    const auto doublings = std::min(failures, maxDoublings);
    const auto bound =
            std::min(policy.longestRetryDelay, policy.firstRetryDelay * (1U << doublings));
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(bound.count()) * uniformReal(random)));
}

JobRecord afterFailure(const JobRecord &record, const JobMoment &moment, Random &random)
{
    const auto &policy = *moment.policy;
    auto next = record;
    next.failures.push_back({record.worker, moment.now});
    const auto why = moment.task->failure.empty() ? "the work failed" : moment.task->failure;
    const auto workers = moment.blame->faultlessWorkers(next);
    if (workers >= policy.workersToBlameJob) {
        return entered(next, JobState::DeadLettered,
                       fmt::format("failed on {} different workers, last on {}: {}", workers,
                                   record.worker.value(), why),
                       moment.now);
    }
    const auto counted = static_cast<std::size_t>(std::count_if(
            next.failures.begin(), next.failures.end(), [&moment](const JobFailure &failure) {
                return !moment.blame->isBlamed(failure.worker);
            }));
    if (counted >= policy.maxFailures) {
        return entered(
                next, JobState::Failed,
                fmt::format("failed {} times, last on {}: {}", counted, record.worker.value(), why),
                moment.now);
    }
    next = entered(next, JobState::Submitted,
                   fmt::format("failed on {}: {}", record.worker.value(), why), moment.now);
    next.notBefore = moment.now + retryDelay(next.failures.size() - 1, policy, random);
    return next;
}

// The attempt has ended for good without an end of the work.
JobRecord afterInterruption(const JobRecord &record, const TaskStatus &task, WallTime now)
{
    auto next = record;
    if (!task.checkpoint.empty()) {
        next.checkpoint = task.checkpoint;
    }
    if (record.cancelRequested) {
        return entered(next, JobState::Cancelled, "cancelled by its caller", now);
    }
    return entered(
            next, JobState::Submitted,
            fmt::format("{} on {}", store::taskStateNames.name(task.state), record.worker.value()),
            now);
}

JobRecord afterEnd(const JobRecord &record, const JobMoment &moment, Random &random)
{
    switch (moment.task->state) {
    case TaskState::Completed:
        return entered(record, JobState::Completed, "", moment.now);
    case TaskState::Failed:
        if (record.cancelRequested) {
            return afterInterruption(record, *moment.task, moment.now);
        }
        return afterFailure(record, moment, random);
    case TaskState::Running:
    case TaskState::Checkpointed:
    case TaskState::Stopped:
    case TaskState::Lapsed:
    case TaskState::Refused:
        break;
    }
    return afterInterruption(record, *moment.task, moment.now);
}

bool isTooLong(const JobRecord &record, std::chrono::milliseconds bound, WallTime now)
{
    return record.enteredAt + bound < now;
}

std::optional<TaskAction> actionWithoutTask(const JobRecord &record, const JobMoment &moment)
{
    if (record.state == JobState::Placing) {
        return StartTask{};
    }
    // Stopping a task that the platform doesn't know makes sure that a start still under way
    // does nothing.
    if (record.state == JobState::Stopping
        || isTooLong(record, moment.policy->missingTaskBound, moment.now)) {
        return CommandTask{TaskCommand::Stop};
    }
    return std::nullopt;
}

} // namespace

JobRecord entered(const JobRecord &record, JobState state, std::string reason, WallTime now)
{
    auto next = record;
    next.state = state;
    next.reason = std::move(reason);
    next.enteredAt = now;
    if (!isActive(state)) {
        next.holder.clear();
    }
    return next;
}

JobRecord placed(const JobRecord &record, const WorkerId &worker, const std::string &holder,
                 WallTime now)
{
    auto next = entered(record, JobState::Placing, "", now);
    ++next.attempt;
    next.worker = worker;
    next.holder = holder;
    return next;
}

JobRecord cancelled(const JobRecord &record, WallTime now)
{
    auto next = record;
    next.cancelRequested = true;
    const auto state =
            record.state == JobState::Submitted ? JobState::Cancelled : JobState::Stopping;
    return entered(next, state, "cancelled by its caller", now);
}

std::optional<JobRecord> followTask(const JobRecord &record, const JobMoment &moment,
                                    Random &random)
{
    if (!isActive(record.state)) {
        return std::nullopt;
    }
    const auto *task = moment.task;
    if (task != nullptr && task->ended) {
        return afterEnd(record, moment, random);
    }
    if (task != nullptr && record.state == JobState::Placing && task->state == TaskState::Running) {
        return entered(record, JobState::Running, "", moment.now);
    }
    if (record.state == JobState::Checkpointing
        && isTooLong(record, moment.policy->checkpointBound, moment.now)) {
        return entered(record, JobState::Stopping, "could not save its progress in time",
                       moment.now);
    }
    return std::nullopt;
}

std::optional<TaskAction> requiredAction(const JobRecord &record, const JobMoment &moment)
{
    const auto *task = moment.task;
    if (!isActive(record.state) || (task != nullptr && task->ended)) {
        return std::nullopt;
    }
    if (task == nullptr) {
        return actionWithoutTask(record, moment);
    }
    if (record.state == JobState::Checkpointing) {
        return CommandTask{TaskCommand::Checkpoint};
    }
    if (record.state == JobState::Stopping) {
        return CommandTask{TaskCommand::Stop};
    }
    if (record.state == JobState::Throttled && !task->throttled) {
        return CommandTask{TaskCommand::Throttle};
    }
    if (record.state == JobState::Running && task->throttled) {
        return CommandTask{TaskCommand::Resume};
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::jobs
