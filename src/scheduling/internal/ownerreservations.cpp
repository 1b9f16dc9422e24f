// Reservations: a target is kept free for a long-running task that fits nowhere at present.
#include "scheduling/ownercore.h"

#include "scheduling/internal/openstep.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;
using detail::TaskPhase;

namespace {

// Short tasks on the reserved target are preempted once the long-running task has waited for this
// long. The platform requires a long-running task to be back within nine seconds.
constexpr std::chrono::milliseconds preemptAfter{2500};
// A reservation that is not renewed ends after this time.
constexpr std::chrono::seconds reservationTime{4};

} // namespace

void OwnerCore::reserve(const OpenStep &open, const TaskState &task, const TaskRef &ref,
                        const std::vector<TargetState *> &pool, TimePoint now)
{
    auto *target = chooseReservation(open, ref, pool, now);
    if (target == nullptr) {
        return;
    }
    if (std::exchange(target->reservedFor, ref) != ref) {
        reportDecision(Decision::Kind::Reserved, ref, 0, target->info.id,
                       "the task fits on no target at present");
    }
    target->reservedUntil = now + reservationTime;
    if (now - task.waitingSince >= preemptAfter) {
        preemptShortTasks(*target, open.step->spec->allocatedResources(), now);
    }
}

// The target must be one that the task may start on once its short tasks have ended: anything else
// would keep the target from other jobs in vain.
OwnerCore::TargetState *OwnerCore::chooseReservation(const OpenStep &open, const TaskRef &ref,
                                                     const std::vector<TargetState *> &pool,
                                                     TimePoint now)
{
    const auto resources = open.step->spec->allocatedResources();
    TargetState *best = nullptr;
    for (auto *target : pool) {
        if (!allows(open, *target, ref, now) || !isAdvised(open, *target, now)) {
            continue;
        }
        if (!hasRoomAfterPreemption(*target, resources)) {
            continue;
        }
        if (target->reservedFor == ref && target->reservedUntil > now) {
            return target;
        }
        if (best == nullptr || target->used.processors < best->used.processors) {
            best = target;
        }
    }
    return best;
}

// Stops short tasks, those with the least progress first, until the resources become free.
void OwnerCore::preemptShortTasks(TargetState &target, const Resources &resources, TimePoint now)
{
    Resources beingReleased;
    std::vector<std::pair<int, TaskRef>> candidates;
    for (const auto &[other, run] : target.runs) {
        if (run.phase == RunPhase::Stopping || run.phase == RunPhase::OutcomeUnknown) {
            beingReleased += run.resources;
        } else if (!run.isLongRunning && run.phase == RunPhase::Running) {
            candidates.emplace_back(run.percent, other);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto &[percent, other] : candidates) {
        if (resources.fitsIn(target.info.capacity - target.used + beingReleased)) {
            return;
        }
        auto &run = target.runs.at(other);
        beingReleased += run.resources;
        reportDecision(Decision::Kind::Preempted, other, run.attempt, target.info.id,
                       "for the task that reserved the target");
        stopRun(target, other, run, now);
    }
}

// Called once for each plan, so that a reservation does not outlive the conditions that it was made
// under.
void OwnerCore::releaseReservations(TimePoint now)
{
    for (auto *target : m_targetsById) {
        if (!target->reservedFor) {
            continue;
        }
        auto reason = reasonToRelease(*target, *target->reservedFor, now);
        if (!reason.empty()) {
            reportDecision(Decision::Kind::ReservationReleased, *target->reservedFor, 0,
                           target->info.id, std::move(reason));
            target->reservedFor.reset();
        }
    }
}

std::string OwnerCore::reasonToRelease(const TargetState &target, const TaskRef &ref,
                                       TimePoint now) const
{
    JobState *job = nullptr;
    StepState *step = nullptr;
    const auto *task = findTask(ref, &job, &step);
    if (task == nullptr || isFinal(job->phase)) {
        return "its job has ended";
    }
    if (task->phase != TaskPhase::Waiting) {
        return "the task no longer waits";
    }
    if (target.reservedUntil <= now) {
        return "not renewed in time";
    }
    if (!meetsConstraints(*step, target)) {
        return "the step's label or spread excludes the target";
    }
    // An expired ticket is no reason: the advice for a step does not change, and the reservation is
    // not renewed before there is a valid ticket again.
    const auto *queue = queueLimits(job->submission.queue);
    const auto ticket = step->tickets.find(target.info.id);
    if (queue != nullptr && queue->advice
        && (ticket == step->tickets.end() || ticket->second.text.empty())) {
        return "advice excludes the target";
    }
    if (capRoom(job->submission.workspace, step->spec->allocatedResources(), 1) == CapRoom::None) {
        return "the workspace's cap is used up";
    }
    return {};
}

} // namespace cyclamenlatch::scheduling
