// Planning of targets: stops, start retries, paces and evacuation, and which targets are usable.
#include "scheduling/ownercore.h"

#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;

namespace {

// Interval at which all targets are examined, for conditions that only depend on time. A target
// that has changed is examined by the next plan.
constexpr std::chrono::milliseconds fullScanInterval{100};
// Delay before a stop is sent again when it was answered without effect or the target is
// unreachable.
constexpr std::chrono::milliseconds stopRetryDelay{500};
// Most calls for one start. If one call in ten is lost or delayed by seconds, one start in a
// thousand fails.
constexpr unsigned maxStartCalls = 3;
// A target with this many failed calls in a row gets no new work.
constexpr std::uint32_t failedCallsBeforeExclusion = 1;
// A task whose target reports no progress for this long hangs, or for longer if so many percent of
// its usual run time take longer.
constexpr std::chrono::milliseconds minStallTime{2500};
constexpr int stallPercent = 3;
// Fraction of a workspace's cap that is kept free while some targets are not contacted, for runs
// there whose jobs were cancelled or failed right before the change of owners. Such jobs are a few
// in a hundred.
constexpr double capReserveShare = 0.05;
// Longest time that a long-running task may take from its start until it is at work.
constexpr std::chrono::seconds startupTime{6};
// Targets report metrics over this interval. A pace is halved at most once in two intervals.
constexpr std::chrono::milliseconds metricInterval{500};
// Paces are raised by this step, in percent, and no sooner than this after the last change.
constexpr int paceRaiseStep = 20;
constexpr std::chrono::milliseconds paceRaiseDelay{1500};
// Ratios of a task's tail latency to its bound at which tasks on spare processors beside it are
// slowed down, halted or sped up.
constexpr double slowAbove = 0.85;
constexpr double haltAbove = 1.0;
constexpr double raiseBelow = 0.6;

Resources reduced(const Resources &cap)
{
    const auto reduce = [](std::int64_t bound) {
        // A bound of 0 means unlimited.
        return bound == 0 ? 0
                          : std::max<std::int64_t>(
                                  1, static_cast<std::int64_t>((1 - capReserveShare)
                                                               * static_cast<double>(bound)));
    };
    return Resources{reduce(cap.processors), reduce(cap.memoryMib), reduce(cap.accelerators)};
}

} // namespace

std::vector<Order> OwnerCore::plan(TimePoint now, WallTime wallNow)
{
    m_wallRead = wallNow;
    m_wallReadAt = now;
    for (auto at = m_timedJobs.begin(); at != m_timedJobs.end();) {
        const auto job = m_jobs.find(*at);
        const bool isLive = job != m_jobs.end() && !isFinal(job->second->phase);
        if (isLive) {
            openDue(*job->second, now, wallNow);
        }
        if (!isLive) {
            m_backloggedJobs.erase(*at);
        }
        at = isLive ? std::next(at) : m_timedJobs.erase(at);
    }
    retryRejected(now);
    ++m_statistics.plans;
    planTargets(now);
    sendAllocatedStarts(now);
    planStarts(now);
    return std::exchange(m_orders, {});
}

void OwnerCore::planTargets(TimePoint now)
{
    auto targets = std::exchange(m_targetsToPlan, {});
    for (auto *target : targets) {
        target->isScheduledForPlanning = false;
    }
    if (!m_lastFullScan || now - *m_lastFullScan >= fullScanInterval) {
        m_lastFullScan = now;
        targets = m_targetsById;
    }
    m_statistics.targetsExamined += targets.size();
    std::vector<std::string> ended;
    for (auto *target : targets) {
        if (planTarget(*target, now)) {
            ended.push_back(target->info.id);
        }
    }
    for (const auto &id : ended) {
        eraseTarget(id);
    }
}

bool OwnerCore::planTarget(TargetState &target, TimePoint now)
{
    // A target that has not been asked, or whose answer may be on the way, keeps its runs: they may
    // have ended well, and its next answer may tell so.
    const bool isOutOfContact = target.failedCalls > 0 || !target.isAdopted || !target.isListed;
    if (isOutOfContact && hasLeaseExpired(target, now)) {
        releaseRuns(target, Decision::Kind::LeaseExpired, now);
        if (!target.isListed && target.runs.empty()) {
            return true;
        }
    }
    if (!target.isListed && target.runs.empty() && target.isAdopted
        && target.failedCalls > failedCallsBeforeExclusion) {
        return true;
    }
    planStops(target, now);
    planStartRetries(target, now);
    planPaces(target, now);
    planStalls(target, now);
    planEvacuation(target, now);
    return false;
}

void OwnerCore::planStops(TargetState &target, TimePoint now)
{
    for (auto &[task, run] : target.runs) {
        const bool isStopping =
                run.phase == RunPhase::OutcomeUnknown || run.phase == RunPhase::Stopping;
        const bool usesFixedDelay = run.stopAnsweredAt || target.failedCalls > 0;
        const auto delay = usesFixedDelay ? stopRetryDelay : target.responseTime.timeout();
        if (!isStopping || (run.stopSentAt && now - *run.stopSentAt < delay)) {
            continue;
        }
        if (run.phase == RunPhase::OutcomeUnknown && run.stopAnsweredAt) {
            continue;
        }
        run.stopSentAt = now;
        m_orders.emplace_back(stopOrder(target, task, run));
    }
}

// A target carries out a start only once, however often it receives it, and refuses an attempt that
// is not higher than one that ended there. So the same start can be sent to the same target again
// without a stop. The retry does not extend the lease: that of an unreachable target must expire.
void OwnerCore::planStartRetries(TargetState &target, TimePoint now)
{
    if (target.failedCalls > 0 || !target.isAdopted) {
        return;
    }
    for (auto &[task, run] : target.runs) {
        if (run.phase != RunPhase::Starting || run.life != target.life
            || run.startCalls >= maxStartCalls
            || now - run.startSentAt < target.responseTime.timeout()) {
            continue;
        }
        ++run.startCalls;
        ++run.pendingCalls;
        run.startSentAt = now;
        m_orders.emplace_back(startOrder(target, task, run));
    }
}

void OwnerCore::planPaces(TargetState &target, TimePoint now)
{
    double worst = 0;
    bool hasLatencySensitive = false;
    for (const auto &[task, run] : target.runs) {
        if (run.isLatencySensitive && run.phase == RunPhase::Running && run.metric) {
            hasLatencySensitive = true;
            worst = std::max(worst, static_cast<double>(*run.metric)
                                            / static_cast<double>(run.tailLatencyBound.count()));
        }
    }
    for (auto &[task, run] : target.runs) {
        if (!run.usesSpareProcessors || run.phase != RunPhase::Running) {
            continue;
        }
        const auto sinceOrder = now - run.paceOrderedAt;
        if (hasLatencySensitive && worst > haltAbove) {
            run.pace = 0;
        } else if (hasLatencySensitive && worst > slowAbove && sinceOrder > 2 * metricInterval) {
            run.pace = run.pace / 2;
        } else if ((!hasLatencySensitive || worst < raiseBelow) && run.pace < 100
                   && sinceOrder > paceRaiseDelay) {
            run.pace = std::min(100, run.pace + paceRaiseStep);
        }
        // A pace order may be lost or carried out after a later one, so a reported pace that still
        // differs is ordered again.
        const bool isOff = run.orderedPace != run.pace
                           || (run.percent != run.pace && sinceOrder > paceRaiseDelay
                               && run.progressAt > run.paceOrderedAt + paceRaiseDelay);
        if (isOff && (run.orderedPace != run.pace || sinceOrder > paceRaiseDelay)) {
            run.orderedPace = run.pace;
            run.paceOrderedAt = now;
            PaceOrder order{target.info.id, task, run.attempt, run.pace};
            detail::address(order, target, fencingToken(target.info.id));
            m_orders.emplace_back(std::move(order));
        }
    }
}

void OwnerCore::planStalls(TargetState &target, TimePoint now)
{
    if (now - target.lastAnswer > minStallTime) {
        return;
    }
    for (auto &[task, run] : target.runs) {
        if (run.phase != RunPhase::Running || run.usesSpareProcessors) {
            continue;
        }
        JobState *job = nullptr;
        StepState *step = nullptr;
        const auto *state = findTask(task, &job, &step);
        if (state == nullptr || step->spec->isGang) {
            continue;
        }
        const auto withoutProgress = target.lastAnswer - run.progressAt;
        if (run.percent >= 100 || withoutProgress <= minStallTime) {
            continue;
        }
        const auto bound =
                run.isLongRunning ? Duration{startupTime}
                                  : expectedRunTime(*job, task.step, now).high * stallPercent / 100;
        if (withoutProgress <= bound) {
            continue;
        }
        reportDecision(Decision::Kind::Stalled, task, run.attempt, target.info.id);
        recordTargetFailure(target, task.job, now);
        stopRun(target, task, run, now);
    }
}

// Stops long-running tasks on a draining or evacuated target, within each step's disruption budget.
// The budget does not apply to a target that itself reports that it drains.
void OwnerCore::planEvacuation(TargetState &target, TimePoint now)
{
    if (!target.isHostDraining && !target.info.isDraining && !isEvacuated(target)) {
        return;
    }
    for (auto &[task, run] : target.runs) {
        if (!run.isLongRunning || run.phase != RunPhase::Running) {
            continue;
        }
        const auto *step = findStep(task, nullptr, nullptr);
        if (step == nullptr
            || (isDisruptionBudgetExhausted(*step, now) && !target.info.isDraining)) {
            continue;
        }
        // One at a time also for a step without a disruption budget.
        if (step->spec->maxUnavailable == 0 && unavailableTasks(*step, now) > 0
            && !target.info.isDraining) {
            continue;
        }
        reportDecision(Decision::Kind::Evacuated, task, run.attempt, target.info.id);
        stopRun(target, task, run, now);
    }
}

// The entry of an earlier incarnation does not describe the one that has answered, which may have
// other labels and another capacity.
bool OwnerCore::isDescribed(const TargetState &target)
{
    return target.info.incarnation == 0 || target.info.incarnation >= target.incarnation;
}

bool OwnerCore::isUsable(const TargetState &target, TimePoint now) const
{
    return target.isListed && target.isAdopted && target.isRecorded && isDescribed(target)
           && !target.isHostDraining && !target.info.isDraining && !isEvacuated(target)
           && target.failedCalls < failedCallsBeforeExclusion && target.orphanedRuns == 0
           && target.quarantinedUntil <= now;
}

bool OwnerCore::isEvacuated(const TargetState &target) const
{
    return m_evacuated.contains(target.info.dataCentre);
}

// Whether a target that is not contacted yet may run tasks of the job.
bool OwnerCore::isUncertain(const JobState &job, TimePoint now) const
{
    return m_hasUncontactedTargets && !job.isNew
           && std::any_of(job.targets.begin(), job.targets.end(), [&](const std::string &id) {
                  const auto *target = findTarget(id);
                  return target != nullptr && !target->isAdopted && !hasLeaseExpired(*target, now);
              });
}

OwnerCore::CapRoom OwnerCore::capRoom(const std::string &workspace, const Resources &task,
                                      std::uint32_t count) const
{
    const auto *limits = workspaceLimits(workspace);
    if (limits == nullptr) {
        // Jobs of public queues have no workspace. A cap that is not known must not be exceeded.
        return workspace.empty() ? CapRoom::Enough : CapRoom::None;
    }
    Resources used = m_orphanedUse + task * (std::int64_t{count} - 1);
    if (const auto found = m_used.find(workspace); found != m_used.end()) {
        used += found->second.resources;
    }
    if (const auto found = m_uncertainUse.find(workspace); found != m_uncertainUse.end()) {
        used += found->second;
    }
    const auto cap = m_hasUncontactedTargets ? reduced(limits->cap) : limits->cap;
    return (used + task).isWithinCap(cap)   ? CapRoom::Enough
           : task.mayStartBeside(used, cap) ? CapRoom::Partial
                                            : CapRoom::None;
}

// A start may exceed the cap by its own task, as the platform allows: a task that is larger than
// what the workspace's other runs leave of the cap would otherwise wait for as long as they last.
// Starts arrive in any order, and a smaller one that arrives after it would exceed the cap by more
// than itself, so all others must be known to have arrived.
bool OwnerCore::mayUse(const std::string &workspace, const Resources &task,
                       std::uint32_t count) const
{
    const auto room = capRoom(workspace, task, count);
    if (room != CapRoom::Partial) {
        return room == CapRoom::Enough;
    }
    const auto used = m_used.find(workspace);
    return !m_hasUncontactedTargets && m_orphanedUse == Resources{}
           && (used == m_used.end() || used->second.startsUnderWay == 0);
}

} // namespace cyclamenlatch::scheduling
