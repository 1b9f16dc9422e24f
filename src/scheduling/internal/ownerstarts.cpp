// Starts: the order of open steps, and the target of each task.
#include "scheduling/ownercore.h"

#include "scheduling/internal/criticalpath.h"
#include "scheduling/internal/openstep.h"
#include "scheduling/internal/ownerstate.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;
using detail::TaskPhase;

namespace {

// A long-running task that fits on no target gets a target reserved after this time.
constexpr std::chrono::milliseconds reserveAfter{300};
// How often tasks are examined for a copy.
constexpr std::chrono::milliseconds copyInterval{100};
// A target counts as slow from this slowdown on, and then each doubling weighs as much as this many
// whole targets of free room.
constexpr double minSlowdown = 1.5;
constexpr double slowdownWeight = 2;
// A target where whatever runs may have the longest lease weighs as much as this many whole targets
// of free room for long-running tasks, which must be back soon after the target's loss.
constexpr double longestLeaseWeight = 4;
// Range of attempt numbers of one task in one term, so that those of the next owner are higher.
constexpr std::uint32_t attemptsPerTerm = 4096;

} // namespace

std::vector<OwnerCore::OpenStep> OwnerCore::openSteps(TimePoint now)
{
    std::vector<OpenStep> open;
    for (auto at = m_openJobs.begin(); at != m_openJobs.end();) {
        const auto found = m_jobs.find(*at);
        const auto before = open.size();
        if (found != m_jobs.end() && !isFinal(found->second->phase)) {
            addOpenSteps(*found->second, now, open);
        }
        at = open.size() == before ? m_openJobs.erase(at) : std::next(at);
    }
    std::sort(open.begin(), open.end(),
              [](const OpenStep &left, const OpenStep &right) { return left.key() < right.key(); });
    return open;
}

void OwnerCore::addOpenSteps(JobState &job, TimePoint now, std::vector<OpenStep> &open)
{
    const auto *queue = queueLimits(job.submission.queue);
    for (auto &[number, occurrence] : job.occurrences) {
        if (now < occurrence.startsFrom) {
            continue;
        }
        const bool hasBegun =
                std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                            [](const StepState &step) { return step.waiting != step.spec->count; });
        for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
            auto &step = occurrence.steps[index];
            if (!step.isOpen || step.waiting == 0) {
                continue;
            }
            OpenStep item{&job, &occurrence, &step, index};
            item.priority = queue == nullptr ? 0 : queue->priority;
            item.advice = queue != nullptr && queue->advice ? &*queue->advice : nullptr;
            if (step.spec->isLongRunning) {
                item.band = step.spec->usesSpareProcessors ? 1 : 0;
                item.due = job.arrived;
            } else {
                item.band = 2;
                item.hasBegun = hasBegun;
                // Ordered by the latest start that still meets the objective.
                const auto remaining = std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double, std::milli>(criticalPaths(job, now)[index]));
                item.due = occurrence.objective - remaining;
                const bool isOverdue = isEnabled(SchedulingFeature::UsefulFirst)
                                       && now > occurrence.usefulUntil - remaining;
                item.usefulness = isOverdue                        ? Usefulness::Overdue
                                  : job.isExcess || now > item.due ? Usefulness::Behind
                                                                   : Usefulness::InTime;
            }
            open.push_back(item);
        }
    }
}

void OwnerCore::planStarts(TimePoint now)
{
    auto steps = openSteps(now);
    m_statistics.stepsExamined += steps.size();
    const bool areCopiesDue = !m_copyableJobs.empty() && now - m_copiesPlannedAt >= copyInterval
                              && isEnabled(SchedulingFeature::Copies);
    if (steps.empty()) {
        m_crowded.clear();
        m_shares.keepBusy({});
    }
    if (steps.empty() && !areCopiesDue) {
        return;
    }
    Pools pools;
    m_poolCapacity.clear();
    for (auto *target : m_targetsById) {
        if (isUsable(*target, now)) {
            pools[target->info.service].push_back(target);
            m_poolCapacity[target->info.service] += target->info.capacity;
        }
    }
    if (!m_crowded.empty() && isEnabled(SchedulingFeature::FairShares)) {
        orderFairly(steps, pools, now);
    }
    countUncertainUse(now);
    releaseReservations(now);
    // By service, an upper bound of the free resources of each of its targets.
    std::unordered_map<std::string, Resources> mostFree;
    for (const auto &open : steps) {
        const auto &service = open.job->submission.service;
        const auto pool = pools.find(service);
        if (pool == pools.end() || isFinal(open.job->phase) || isUncertain(*open.job, now)) {
            continue;
        }
        if (open.advice != nullptr) {
            askAdvice(open, pool->second, now);
        }
        if (open.step->spec->isGang) {
            startGang(open, pool->second, now);
            continue;
        }
        // In a full pool most steps are skipped without examining its targets.
        auto [free, isFirst] = mostFree.try_emplace(service);
        if (isFirst) {
            free->second = maxResources(pool->second);
        }
        if (!open.step->spec->isLongRunning
            && !open.step->spec->allocatedResources().fitsIn(free->second)) {
            continue;
        }
        startStep(open, pool->second, now);
        if (open.step->waiting > 0) {
            free->second = maxResources(pool->second);
        }
    }
    m_crowded = crowdedServices(steps);
    m_shares.keepBusy(m_crowded);
    if (areCopiesDue) {
        m_copiesPlannedAt = now;
        planCopies(pools, now);
    }
}

// Maximum of the free resources over the targets, taken for each resource separately.
Resources OwnerCore::maxResources(const std::vector<TargetState *> &pool)
{
    Resources most;
    for (const auto *target : pool) {
        const auto free = target->info.capacity - target->used;
        most.processors = std::max(most.processors, free.processors);
        most.memoryMib = std::max(most.memoryMib, free.memoryMib);
        most.accelerators = std::max(most.accelerators, free.accelerators);
    }
    return most;
}

// A task runs only on targets that are stored for its job. So the resources in use beside those of
// known runs are at most those of waiting tasks of jobs with a target that is not contacted, and
// those of orphaned runs.
void OwnerCore::countUncertainUse(TimePoint now)
{
    m_uncertainUse.clear();
    m_orphanedUse = Resources{};
    m_hasUncontactedTargets = false;
    for (const auto &[id, target] : m_targets) {
        m_hasUncontactedTargets =
                m_hasUncontactedTargets || (!target->isAdopted && !hasLeaseExpired(*target, now));
        if (target->isAdopted && target->orphanedRuns > 0) {
            m_orphanedUse += target->info.capacity - target->used;
        }
    }
    for (const auto &[id, job] : m_jobs) {
        if (!m_hasUncontactedTargets || isFinal(job->phase) || !isUncertain(*job, now)) {
            continue;
        }
        auto &use = m_uncertainUse[job->submission.workspace];
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps) {
                use += step.spec->allocatedResources() * step.waiting;
            }
        }
        // An earlier owner may have opened more of what is due.
        const auto closed = std::int64_t{std::max(job->occurrencesDue, job->nextOccurrence)}
                            - job->nextOccurrence;
        for (const auto &step : job->submission.spec.steps) {
            use += step.allocatedResources() * step.count * closed;
        }
    }
}

void OwnerCore::startStep(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    const auto resources = open.step->spec->allocatedResources();
    for (std::uint32_t index = 0; index < open.step->tasks.size(); ++index) {
        auto &task = open.step->tasks[index];
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        const TaskRef ref{open.job->submission.id, open.occurrence->number, open.stepIndex, index};
        if (!checkAttempts(*open.job, *open.step, ref, now)) {
            if (isFinal(open.job->phase)) {
                return;
            }
            continue;
        }
        if (!mayUse(open.job->submission.workspace, resources)) {
            return;
        }
        auto *target = choose(open, task, ref, pool, now);
        if (target != nullptr) {
            start(open, index, *target, nextAttempt(task), now);
        } else if (open.step->spec->isLongRunning && now - task.waitingSince > reserveAfter) {
            return reserve(open, task, ref, pool, now);
        } else {
            return;
        }
    }
}

OwnerCore::TargetState *OwnerCore::choose(const OpenStep &open, const TaskState &task,
                                          const TaskRef &ref,
                                          const std::vector<TargetState *> &pool,
                                          TimePoint now) const
{
    const auto &spec = *open.step->spec;
    const auto resources = spec.allocatedResources();
    const std::string *rackOfOthers = nullptr;
    if (spec.prefersSingleRack) {
        for (const auto &other : open.step->tasks) {
            if (other.target != nullptr) {
                rackOfOthers = &other.target->info.rack();
                break;
            }
        }
    }
    TargetState *best = nullptr;
    double bestScore = 0;
    for (auto *target : pool) {
        if (target->quarantinedUntil > now
            || !resources.fitsIn(target->info.capacity - target->used)
            || !isAdvised(open, *target, now) || !allows(open, *target, ref, now)) {
            continue;
        }
        const auto free = target->info.capacity - target->used;
        const double freeShare =
                static_cast<double>(free.processors)
                / static_cast<double>(std::max<std::int64_t>(target->info.capacity.processors, 1));
        // Lower is better. Fuller targets are preferred, so that whole targets stay free for large
        // tasks and other pools.
        double score = freeShare;
        if (spec.isLongRunning) {
            for (const auto &[other, run] : target->runs) {
                score += (spec.usesSpareProcessors && run.isLatencySensitive)
                                         || (spec.isLatencySensitive() && run.usesSpareProcessors)
                                 ? 2
                                 : 0;
            }
            score += longestForeignLease(*target) > m_settings.maxRunLease ? longestLeaseWeight : 0;
        }
        score += !spec.dataRack.empty() && !target->info.hasLabel(spec.dataRack)
                         ? 4 * (m_settings.remoteSlowdownFactor - 1)
                         : 0;
        score += rackOfOthers != nullptr && target->info.rack() != *rackOfOthers
                         ? 4 * (m_settings.remoteSlowdownFactor - 1)
                         : 0;
        score += target->info.id == task.failedOn ? 8 : 0;
        score += target->consecutiveFailures;
        const double factor = slowdown(*target, now);
        score += factor > minSlowdown ? slowdownWeight * std::log2(factor) : 0;
        if (best == nullptr || score < bestScore) {
            best = target;
            bestScore = score;
        }
    }
    return best;
}

bool OwnerCore::allows(const OpenStep &open, const TargetState &target, const TaskRef &ref,
                       TimePoint now)
{
    const bool isReservedForOther =
            target.reservedFor && *target.reservedFor != ref && target.reservedUntil > now;
    return !isReservedForOther && meetsConstraints(*open.step, target);
}

// Whether the target has the step's label and may run one more of its tasks.
bool OwnerCore::meetsConstraints(const StepState &step, const TargetState &target)
{
    const auto &spec = *step.spec;
    if (!spec.requiredLabel.empty() && !target.info.hasLabel(spec.requiredLabel)) {
        return false;
    }
    return spec.maxTasksPerTarget == 0
           || std::count_if(step.tasks.begin(), step.tasks.end(), [&](const auto &other) {
                  return other.target == &target || other.copyTarget == &target;
              }) < spec.maxTasksPerTarget;
}

void OwnerCore::startGang(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    auto &step = *open.step;
    const TaskRef first{open.job->submission.id, open.occurrence->number, open.stepIndex, 0};
    if (step.waiting != step.spec->count || !checkAttempts(*open.job, step, first, now)) {
        return;
    }
    if (!mayUse(open.job->submission.workspace, step.spec->requiredResources, step.spec->count)) {
        return;
    }
    // Tries each rack alone if the gang prefers a single rack, then the whole pool.
    std::vector<std::vector<TargetState *>> groups;
    if (step.spec->prefersSingleRack) {
        std::map<std::string, std::vector<TargetState *>> racks;
        for (auto *target : pool) {
            racks[target->info.rack()].push_back(target);
        }
        for (auto &[rack, group] : racks) {
            groups.push_back(std::move(group));
        }
    }
    groups.push_back(pool);
    for (const auto &group : groups) {
        std::vector<TargetState *> places;
        for (std::uint32_t index = 0; index < step.spec->count; ++index) {
            const TaskRef ref{open.job->submission.id, open.occurrence->number, open.stepIndex,
                              index};
            auto *target = choose(open, step.tasks[index], ref, group, now);
            if (target == nullptr) {
                break;
            }
            // Allocated during the search, so that the choice for the next member counts it.
            step.tasks[index].target = target;
            target->used += step.spec->requiredResources;
            places.push_back(target);
        }
        for (std::size_t index = 0; index < places.size(); ++index) {
            step.tasks[index].target = nullptr;
            places[index]->used -= step.spec->requiredResources;
        }
        if (places.size() != step.spec->count) {
            continue;
        }
        std::uint32_t starts = 0;
        for (const auto &task : step.tasks) {
            starts = std::max(starts, task.starts);
        }
        const std::string checkpoint = step.tasks.front().checkpoint;
        for (std::uint32_t index = 0; index < step.spec->count; ++index) {
            step.tasks[index].starts = starts + 1;
            step.tasks[index].checkpoint = checkpoint;
            start(open, index, *places[index], (m_settings.term - 1) * attemptsPerTerm + starts + 1,
                  now);
        }
        return;
    }
}

void OwnerCore::start(const OpenStep &open, std::uint32_t index, TargetState &target,
                      std::uint32_t attempt, TimePoint now)
{
    auto &task = open.step->tasks[index];
    const TaskRef ref{open.job->submission.id, open.occurrence->number, open.stepIndex, index};
    task.phase = TaskPhase::Ordered;
    task.target = &target;
    --open.step->waiting;
    ++open.step->ordered;
    if (target.reservedFor == ref) {
        target.reservedFor.reset();
    }
    orderRun(open, ref, target, attempt, now);
}

std::uint32_t OwnerCore::nextAttempt(TaskState &task) const
{
    return static_cast<std::uint32_t>((m_settings.term - 1) * attemptsPerTerm) + ++task.starts;
}

void OwnerCore::orderRun(const OpenStep &open, const TaskRef &ref, TargetState &target,
                         std::uint32_t attempt, TimePoint now)
{
    RunState run;
    run.attempt = attempt;
    run.life = target.life;
    run.orderedAt = now;
    run.progressAt = now;
    run.paceOrderedAt = now;
    run.isWholeRun = open.step->tasks[ref.index].checkpoint.empty();
    addRun(target, ref, *open.job, *open.step->spec, std::move(run));
    chargeShare(*open.job, ref.step, now);
    if (open.job->phase == JobPhase::Queued) {
        open.job->phase = JobPhase::Running;
    }
    if (addJobTarget(*open.job, target) < open.job->storedTargets) {
        sendStart(target, ref, target.runs.at(ref), now);
    } else {
        markDirty(*open.job, true, now);
    }
}

void OwnerCore::sendStart(TargetState &target, const TaskRef &ref, RunState &run, TimePoint now)
{
    setPhase(run, RunPhase::Starting);
    run.life = target.life;
    run.orderedAt = now;
    run.progressAt = now;
    run.paceOrderedAt = now;
    run.startSentAt = now;
    run.startCalls = 1;
    run.pendingCalls = 1;
    target.leaseUntil = std::max(target.leaseUntil, leaseFrom(target, now));
    target.lastOrderAt = now;
    m_orders.emplace_back(startOrder(target, ref, run));
    if (m_listener) {
        const auto *task = findTask(ref);
        Decision decision{Decision::Kind::Started, ref, run.attempt, target.info.id,
                          leaseText(target, now),  {}};
        decision.waited = task == nullptr ? std::nullopt : std::optional(now - task->waitingSince);
        m_listener(decision);
    }
}

StartOrder OwnerCore::startOrder(TargetState &target, const TaskRef &ref, const RunState &run) const
{
    StartOrder order;
    order.targetId = target.info.id;
    order.task = ref;
    order.attempt = run.attempt;
    order.leaseUntil = target.leaseUntil;
    detail::address(order, target, fencingToken(target.info.id));
    if (const auto *task = findTask(ref); task != nullptr) {
        order.checkpoint = task->checkpoint;
    }
    if (const auto *step = findStep(ref, nullptr, nullptr); step != nullptr) {
        const auto ticket = step->tickets.find(target.info.id);
        order.ticket = ticket == step->tickets.end() ? std::string{} : ticket->second.text;
    }
    return order;
}

// The cap may have been lowered since the run was allocated. A gang is sent whole or not at all:
// one that has begun goes on, and one that has lost a member waits for another start.
bool OwnerCore::mayStillStart(const TaskRef &ref, const RunState &run) const
{
    const auto *step = findStep(ref, nullptr, nullptr);
    if (step != nullptr && step->spec->isGang) {
        bool isWhole = true;
        for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
            const auto *target = step->tasks[index].target;
            const TaskRef member{ref.job, ref.occurrence, ref.step, index};
            if (target == nullptr || !target->runs.contains(member)) {
                isWhole = false;
            } else if (target->runs.at(member).phase != RunPhase::Allocated) {
                return true;
            }
        }
        if (!isWhole) {
            return false;
        }
    }
    return capRoom(run.workspace, run.resources, 0) != CapRoom::None;
}

// Sends the starts on targets that are now stored for their jobs.
void OwnerCore::sendAllocatedStarts(TimePoint now)
{
    if (!m_jobsWithNewTargets.empty()) {
        countUncertainUse(now);
    }
    for (const auto id : std::exchange(m_jobsWithNewTargets, {})) {
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end()) {
            // The allocated runs of a job are released when the job ends.
            continue;
        }
        // Targets that were added while the record was being written are not in that record, so
        // only those up to storedTargets get starts. Releasing a run does not change the list.
        for (std::size_t place = 0; place < job->second->storedTargets; ++place) {
            auto *target = findTarget(job->second->targets[place]);
            if (target == nullptr) {
                continue;
            }
            std::vector<TaskRef> dropped;
            for (auto &[task, run] : target->runs) {
                if (task.job != id || run.phase != RunPhase::Allocated) {
                    continue;
                }
                if (!isFinal(job->second->phase) && isUsable(*target, now)
                    && mayStillStart(task, run)) {
                    sendStart(*target, task, run, now);
                } else {
                    dropped.push_back(task);
                }
            }
            for (const auto &task : dropped) {
                releaseRun(*target, task, now);
            }
        }
    }
}

} // namespace cyclamenlatch::scheduling
