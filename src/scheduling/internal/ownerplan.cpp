// Planning of targets: what is stopped, slowed or moved there, and which take new work.
#include "scheduling/ownercore.h"

#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;

namespace {

// Every target is looked at this often, for what only time brings about; one of which something
// has changed is looked at with the next plan.
constexpr std::chrono::milliseconds fullScanInterval{100};
// A stop that was answered and has no effect is sent again after this, as is any to a silent
// target.
constexpr std::chrono::milliseconds stopRetryDelay{500};
// Calls with one start. One in ten lost, for good or for seconds, leaves one start in a thousand.
constexpr unsigned mostStartCalls = 3;
// A target whose calls fail in a row gets no new work.
constexpr std::uint32_t failedCallsBeforeRest = 1;
// Without progress for this long, as its target reports, a task hangs.
constexpr std::chrono::milliseconds stallTime{2500};
// While targets were not heard, this part of a workspace's cap is left for runs there whose jobs
// were cancelled or failed right before the change of owners. Such jobs are a few in a hundred.
constexpr double keptForUnknown = 0.05;
// A lasting task may take this long to be at work.
constexpr std::chrono::seconds startupTime{6};
// Paces are changed in these steps, and raised no sooner than this after the last change.
constexpr std::chrono::milliseconds watchInterval{500};
constexpr int paceRaise = 20;
constexpr std::chrono::milliseconds raisePause{1500};
// Shares of a serving task's target at which what fills beside it is slowed or sped up.
constexpr double slowAbove = 0.85;
constexpr double haltAbove = 1.0;
constexpr double raiseBelow = 0.6;

Resources reduced(const Resources &cap)
{
    const auto reduce = [](std::int64_t bound) {
        // A bound of 0 stands for none.
        return bound == 0 ? 0
                          : std::max<std::int64_t>(
                                  1, static_cast<std::int64_t>((1 - keptForUnknown)
                                                               * static_cast<double>(bound)));
    };
    return Resources{reduce(cap.processors), reduce(cap.memoryMib), reduce(cap.accelerators)};
}

} // namespace

std::vector<Order> OwnerCore::plan(TimePoint now, WallTime wallNow)
{
    for (auto at = m_timedJobs.begin(); at != m_timedJobs.end();) {
        const auto job = m_jobs.find(*at);
        const bool isLive = job != m_jobs.end() && !isFinal(job->second->phase);
        if (isLive) {
            openDue(*job->second, now, wallNow);
        }
        at = isLive ? std::next(at) : m_timedJobs.erase(at);
    }
    ++m_work.plans;
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
    m_work.targetsExamined += targets.size();
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
    // One that was not asked, or whose answer may be on its way, is not silent: it may have ended
    // its runs well and say so in a moment.
    const bool isSilent = target.failedCalls > 0 || !target.isAdopted || !target.isListed;
    if (isSilent && hasLeaseExpired(target, now)) {
        releaseRuns(target, Decision::Kind::LeaseExpired, now);
        if (!target.isListed) {
            return true;
        }
    }
    if (!target.isListed && target.runs.empty() && target.isAdopted
        && target.failedCalls > failedCallsBeforeRest) {
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
        const bool isWaitedFor = run.stopAnsweredAt || target.failedCalls > 0;
        const auto pause = isWaitedFor ? stopRetryDelay : target.responseTime.timeout();
        if (!isStopping || (run.stopSentAt && now - *run.stopSentAt < pause)) {
            continue;
        }
        if (run.phase == RunPhase::OutcomeUnknown && run.stopAnsweredAt) {
            continue;
        }
        run.stopSentAt = now;
        m_orders.emplace_back(StopOrder{target.info.id, task, run.attempt});
    }
}

// A target does a start once, however often it comes, and none that is not higher than one that
// ended there. So the same start to the same target needs no stop before it; it gives no longer
// lease, so that a target that is dark lapses no later.
void OwnerCore::planStartRetries(TargetState &target, TimePoint now)
{
    if (target.failedCalls > 0) {
        return;
    }
    for (auto &[task, run] : target.runs) {
        if (run.phase != RunPhase::Starting || run.startCalls >= mostStartCalls
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
    bool hasServing = false;
    for (const auto &[task, run] : target.runs) {
        if (run.isLatencySensitive && run.phase == RunPhase::Running && run.metric) {
            hasServing = true;
            worst = std::max(worst, static_cast<double>(*run.metric)
                                            / static_cast<double>(run.tailLatencyBound.count()));
        }
    }
    for (auto &[task, run] : target.runs) {
        if (!run.usesSpareProcessors || run.phase != RunPhase::Running) {
            continue;
        }
        const auto sinceOrder = now - run.paceOrderedAt;
        if (hasServing && worst > haltAbove) {
            run.pace = 0;
        } else if (hasServing && worst > slowAbove && sinceOrder > 2 * watchInterval) {
            run.pace = run.pace / 2;
        } else if ((!hasServing || worst < raiseBelow) && run.pace < 100
                   && sinceOrder > raisePause) {
            run.pace = std::min(100, run.pace + paceRaise);
        }
        // A pace order may be lost, or be carried out after a later one.
        const bool isOff = run.orderedPace != run.pace
                           || (run.percent != run.pace && sinceOrder > raisePause
                               && run.progressAt > run.paceOrderedAt + raisePause);
        if (isOff && (run.orderedPace != run.pace || sinceOrder > raisePause)) {
            run.orderedPace = run.pace;
            run.paceOrderedAt = now;
            m_orders.emplace_back(PaceOrder{target.info.id, task, run.attempt, run.pace});
        }
    }
}

void OwnerCore::planStalls(TargetState &target, TimePoint now)
{
    if (now - target.lastAnswer > stallTime) {
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
        const auto bound = run.isLongRunning ? Duration{startupTime} : Duration{stallTime};
        const bool isStalled = run.percent < 100 && target.lastAnswer - run.progressAt > bound;
        if (!isStalled) {
            continue;
        }
        reportDecision(Decision::Kind::Stalled, task, run.attempt, target.info.id);
        recordTargetFailure(target, task.job, now);
        stopRun(target, task, run, now);
    }
}

// Lasting tasks leave a target that goes away, each step's no more at a time than it can spare.
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
        if (step == nullptr || (isDisruptionBudgetExhausted(*step) && !target.info.isDraining)) {
            continue;
        }
        // One after the other also where the step's owner allows any number.
        if (step->spec->maxUnavailable == 0 && unavailableTasks(*step) > 0
            && !target.info.isDraining) {
            continue;
        }
        reportDecision(Decision::Kind::Evacuated, task, run.attempt, target.info.id);
        stopRun(target, task, run, now);
    }
}

bool OwnerCore::isUsable(const TargetState &target, TimePoint now) const
{
    return target.isListed && target.isAdopted && target.isRecorded && !target.isHostDraining
           && !target.info.isDraining && !isEvacuated(target)
           && target.failedCalls < failedCallsBeforeRest && target.orphanedRuns == 0
           && target.quarantinedUntil <= now;
}

bool OwnerCore::isEvacuated(const TargetState &target) const
{
    return m_evacuated.contains(target.info.dataCentre);
}

// A target that this owner has not heard yet may run tasks of the job.
bool OwnerCore::isUncertain(const JobState &job, TimePoint now) const
{
    return m_hasUncontactedTargets && !job.isNew
           && std::any_of(job.targets.begin(), job.targets.end(), [&](const std::string &id) {
                  const auto *target = findTarget(id);
                  return target != nullptr && !target->isAdopted && !hasLeaseExpired(*target, now);
              });
}

bool OwnerCore::mayUse(const std::string &workspace, const Resources &requiredResources) const
{
    const auto *rule = workspaceRule(workspace);
    if (rule == nullptr) {
        return true;
    }
    Resources used = m_orphanedUse + requiredResources;
    if (const auto found = m_used.find(workspace); found != m_used.end()) {
        used += found->second;
    }
    if (const auto found = m_uncertainUse.find(workspace); found != m_uncertainUse.end()) {
        used += found->second;
    }
    return used.isWithinCap(m_hasUncontactedTargets ? reduced(rule->cap) : rule->cap);
}

} // namespace cyclamenlatch::scheduling
