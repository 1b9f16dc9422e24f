// Targets and what runs on them: answers to orders, lists of runs and ends, leases.
#include "scheduling/ownercore.h"

#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;
using detail::TaskPhase;

namespace {

// A target's clock may run this much slower than ours.
constexpr double slowestClock = 0.98;
// For what is on its way when a lease runs out.
constexpr std::chrono::milliseconds lapseMargin{150};
// How long a call waits for an end; what also bounds the time until a silent target is noticed.
constexpr std::chrono::milliseconds holdWait{1500};
// Where serving tasks share a target with tasks that fill, their figures are read this often.
constexpr std::chrono::milliseconds watchfulWait{500};
// A lasting task that is at work reports this.
constexpr int fullPercent = 100;

} // namespace

OwnerCore::TargetState &OwnerCore::targetState(const std::string &id)
{
    auto &target = m_targets[id];
    if (!target) {
        target = std::make_unique<TargetState>();
        target->info.id = id;
    }
    return *target;
}

OwnerCore::TargetState *OwnerCore::findTarget(const std::string &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second.get();
}

const TargetInfo *OwnerCore::target(const std::string &id) const
{
    const auto *found = findTarget(id);
    return found == nullptr ? nullptr : &found->info;
}

void OwnerCore::targetListed(const TargetInfo &info, TimePoint now)
{
    auto &target = targetState(info.id);
    const bool isReborn = info.born != 0 && target.born != 0 && info.born > target.born;
    if (!target.isListed) {
        target.lastAnswer = now;
    }
    target.isListed = true;
    target.info = info;
    if (isReborn) {
        tell(Decision::Kind::TargetReborn, {}, 0, info.id);
        loseRuns(target, Decision::Kind::TargetReborn, now);
        target.born = info.born;
        target.endsSeen = 0;
        target.endsRecorded = 0;
        target.isAdopted = false;
    }
}

void OwnerCore::targetUnlisted(const std::string &id, TimePoint)
{
    if (auto *target = findTarget(id)) {
        target->isListed = false;
    }
}

void OwnerCore::targetRemembered(const std::string &id, TimePoint)
{
    targetState(id).isRecorded = true;
}

void OwnerCore::targetRecorded(const std::string &id)
{
    if (auto *target = findTarget(id)) {
        target->isRecorded = true;
    }
}

std::vector<std::string> OwnerCore::targetsToRecord() const
{
    std::vector<std::string> ids;
    for (const auto &[id, target] : m_targets) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool OwnerCore::hasUnrecordedTargets() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &item) {
        return item.second->isListed && !item.second->isRecorded;
    });
}

std::vector<std::string> OwnerCore::targetsToHold() const
{
    std::vector<std::string> ids;
    for (const auto &[id, target] : m_targets) {
        if (!target->info.address.empty()) {
            ids.push_back(id);
        }
    }
    return ids;
}

void OwnerCore::dropRun(TargetState &target, const TaskRef &task)
{
    const auto found = target.runs.find(task);
    if (found == target.runs.end()) {
        return;
    }
    target.strangers -= found->second.isStranger ? 1 : 0;
    target.used -= found->second.room;
    m_used[found->second.workspace] -= found->second.room;
    target.runs.erase(found);
}

void OwnerCore::loseRuns(TargetState &target, Decision::Kind kind, TimePoint now)
{
    std::vector<TaskRef> lost;
    for (auto &[task, run] : target.runs) {
        const bool isOnItsWay = run.phase == RunPhase::Starting || run.phase == RunPhase::Unclear;
        if (kind == Decision::Kind::TargetReborn && isOnItsWay) {
            // The new life may still be handed this start.
            stopRun(target, task, run, now);
            run.stopAnsweredAt.reset();
            continue;
        }
        lost.push_back(task);
    }
    for (const auto &task : lost) {
        tell(kind, task, target.runs.at(task).attempt, target.info.id);
        dropRun(target, task);
        JobState *job = nullptr;
        StepState *step = nullptr;
        if (auto *state = findTask(task, &job, &step);
            state != nullptr && state->target == &target) {
            release(*job, *step, *state, now);
        }
    }
}

void OwnerCore::stopRun(TargetState &target, const TaskRef &task, RunState &run, TimePoint now)
{
    if (run.phase == RunPhase::Stopping || run.phase == RunPhase::Unclear) {
        return;
    }
    run.phase = run.phase == RunPhase::Running ? RunPhase::Stopping : RunPhase::Unclear;
    if (auto *state = findTask(task); state != nullptr && state->target == &target) {
        state->isAtWork = false;
    }
    run.stopSentAt = now;
    run.stopAnsweredAt.reset();
    m_orders.emplace_back(StopOrder{target.info.id, task, run.attempt});
}

std::chrono::milliseconds OwnerCore::leaseFrom(const TargetState &target, TimePoint now) const
{
    return *target.clock + toMilliseconds(now - target.clockAt) + m_settings.runLease;
}

bool OwnerCore::hasLapsed(const TargetState &target, TimePoint now) const
{
    const auto margin = m_settings.stopTime + lapseMargin;
    if (!target.clock || !target.isAdopted) {
        // An earlier owner may have given the longest lease just before this one took over.
        const auto since = std::max(m_began, target.lastOrderAt);
        return toSeconds(now - since) * slowestClock > toSeconds(m_settings.longestLease + margin);
    }
    const auto clockNow = *target.clock
                          + std::chrono::duration_cast<std::chrono::milliseconds>(
                                  (now - target.clockAt) * slowestClock);
    return clockNow > target.leaseUntil + margin;
}

std::optional<HoldOrder> OwnerCore::holdOrder(const std::string &id, TimePoint now)
{
    auto *target = findTarget(id);
    if (target == nullptr || target->info.address.empty()) {
        return std::nullopt;
    }
    HoldOrder order;
    order.endsRecorded = target->endsRecorded;
    if (!target->isAdopted || !target->clock) {
        // The first call only reads, so that the clock is known before a lease is given.
        return order;
    }
    if (target->failedCalls > 0) {
        // A call without an answer may still be carried out: while the target is silent no longer
        // leases are sent, so that its last one can run out.
        return order;
    }
    order.leaseUntil = leaseFrom(*target, now);
    target->leaseUntil = std::max(target->leaseUntil, order.leaseUntil);
    target->lastOrderAt = now;
    order.wait = holdWait;
    bool hasFill = false;
    bool hasServing = false;
    for (const auto &[task, run] : target->runs) {
        hasFill = hasFill || run.fills;
        hasServing = hasServing || run.serves;
        if (run.phase == RunPhase::Unclear || run.phase == RunPhase::Stopping) {
            order.wait = std::min(order.wait, m_settings.stopTime);
        }
    }
    if (hasFill && hasServing) {
        order.wait = std::min(order.wait, watchfulWait);
    }
    if (target->endsSeen > target->endsRecorded) {
        // A call that waits answers at once while unrecorded ends are listed.
        order.wait = std::chrono::milliseconds{0};
    }
    return order;
}

void OwnerCore::holdFailed(const std::string &id, TimePoint)
{
    if (auto *target = findTarget(id)) {
        ++target->failedCalls;
    }
}

void OwnerCore::holdAnswered(const std::string &id, const HoldReport &report, TimePoint sentAt,
                             TimePoint now)
{
    auto *target = findTarget(id);
    if (target == nullptr) {
        return;
    }
    const bool isOtherLife = target->born != 0 && report.born != 0 && report.born != target->born;
    if (isOtherLife) {
        tell(Decision::Kind::TargetReborn, {}, 0, id);
        loseRuns(*target, Decision::Kind::TargetReborn, now);
    }
    if (isOtherLife || !target->isAdopted) {
        target->endsSeen = 0;
        target->endsRecorded = 0;
        target->leaseUntil = report.clock + m_settings.longestLease;
    }
    target->born = report.born == 0 ? target->born : report.born;
    target->clock = report.clock;
    target->clockAt = now;
    target->lastAnswer = now;
    target->failedCalls = 0;
    target->isAdopted = true;
    for (const auto &end : report.ends) {
        if (end.number > target->endsSeen) {
            target->endsSeen = end.number;
            if (!m_uncoveredSince) {
                m_uncoveredSince = now;
            }
            takeEnd(*target, end, now);
        }
    }
    for (const auto &row : report.running) {
        takeRunning(*target, row, sentAt, now);
    }
    dropVanished(*target, report, sentAt, now);
}

void OwnerCore::takeEnd(TargetState &target, const EndRow &end, TimePoint now)
{
    tell(Decision::Kind::Ended, end.task, end.attempt, target.info.id,
         end.how == RunEnd::Done     ? "done"
         : end.how == RunEnd::Failed ? "failed"
                                     : "cut short");
    const auto run = target.runs.find(end.task);
    const bool isCurrent = run != target.runs.end() && run->second.attempt == end.attempt;
    const auto ranFor = isCurrent ? now - run->second.orderedAt : Duration{};
    if (isCurrent) {
        dropRun(target, end.task);
    }
    JobState *job = nullptr;
    OccurrenceState *occurrence = nullptr;
    auto *step = findStep(end.task, &job, &occurrence);
    if (step == nullptr || end.task.index >= step->tasks.size()) {
        return;
    }
    if (job->phase == JobPhase::Queued) {
        job->phase = JobPhase::Running;
        makeDirty(*job, false, now);
    }
    auto &task = step->tasks[end.task.index];
    if (!end.checkpoint.empty() && task.phase != TaskPhase::Done) {
        if (step->spec->isGang) {
            for (auto &member : step->tasks) {
                member.checkpoint = end.checkpoint;
            }
        }
        task.checkpoint = end.checkpoint;
        makeDirty(*job, false, now);
    }
    if (end.how == RunEnd::Done && !step->spec->lasts) {
        target.failuresInRow = 0;
        if (isCurrent) {
            // Some hundred runs make a good mean.
            constexpr double keep = 0.99;
            auto &times = m_runTimes[job->submission.queue];
            times.real = keep * times.real + toSeconds(ranFor);
            times.guessed = keep * times.guessed + toSeconds(step->spec->estimate);
        }
        if (!step->spec->isGang) {
            return markDone(*job, *occurrence, *step, end.task.index, now);
        }
        // One end stands for the whole gang. Marking the last one may end the job's occurrence.
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
    if (isCurrent && task.target == &target) {
        release(*job, *step, task, now);
    }
    if (end.how == RunEnd::Failed) {
        takeFailure(target, *job, *step, end, now);
    }
}

void OwnerCore::takeFailure(TargetState &target, JobState &job, StepState &step, const EndRow &end,
                            TimePoint now)
{
    auto &task = step.tasks[end.task.index];
    if (task.phase == TaskPhase::Done) {
        return;
    }
    task.failedOn = target.info.id;
    blame(target, job.submission.id, now);
    if (step.spec->lasts) {
        return;
    }
    auto &failed = step.spec->isGang ? step.gangFailedAttempts : task.failedAttempts;
    if (std::find(failed.begin(), failed.end(), end.attempt) != failed.end()) {
        return;
    }
    failed.push_back(end.attempt);
    makeDirty(job, false, now);
    if (failed.size() >= mostAttempts(job)) {
        finishJob(job, JobPhase::Failed, now);
    }
}

void OwnerCore::takeRunning(TargetState &target, const RunningRow &row, TimePoint sentAt,
                            TimePoint now)
{
    const auto found = target.runs.find(row.task);
    if (found == target.runs.end() || found->second.attempt < row.attempt) {
        return adopt(target, row, now);
    }
    auto &run = found->second;
    if (run.attempt != row.attempt) {
        return;
    }
    if (run.phase == RunPhase::Starting) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
    } else if (run.phase == RunPhase::Unclear && run.stopAnsweredAt
               && *run.stopAnsweredAt < sentAt) {
        run.phase = RunPhase::Stopping;
    }
    if (row.percent != run.percent || run.progressAt == TimePoint{}) {
        run.progressAt = now;
    }
    run.percent = row.percent;
    run.figure = row.figure;
    if (auto *task = findTask(row.task); task != nullptr && task->target == &target) {
        task->isAtWork = row.percent >= fullPercent && run.phase == RunPhase::Running;
        if (!row.checkpoint.empty()) {
            task->checkpoint = row.checkpoint;
        }
    }
}

// A run of an earlier owner, or one whose start was given up: it goes on if its task waits.
void OwnerCore::adopt(TargetState &target, const RunningRow &row, TimePoint now)
{
    JobState *job = nullptr;
    StepState *step = nullptr;
    auto *task = findTask(row.task, &job, &step);
    dropRun(target, row.task);
    RunState run;
    run.attempt = row.attempt;
    run.phase = RunPhase::Running;
    run.confirmedAt = now;
    run.orderedAt = now;
    run.progressAt = now;
    run.percent = row.percent;
    run.figure = row.figure;
    // The pace is not told apart from the progress; it is ordered anew where it matters.
    run.orderedPace = -1;
    run.paceOrderedAt = now;
    if (task == nullptr) {
        run.isStranger = true;
        ++target.strangers;
        auto &kept = target.runs.emplace(row.task, std::move(run)).first->second;
        return stopRun(target, row.task, kept, now);
    }
    run.workspace = job->submission.workspace;
    run.fills = step->spec->fills;
    run.serves = step->spec->serves();
    run.lasts = step->spec->lasts;
    run.tailTarget = step->spec->tailTarget;
    run.room = step->spec->need;
    if (run.fills) {
        run.room.processors = 0;
    }
    target.used += run.room;
    m_used[run.workspace] += run.room;
    auto &kept = target.runs.emplace(row.task, std::move(run)).first->second;
    tell(Decision::Kind::Adopted, row.task, row.attempt, target.info.id);
    if (task->phase != TaskPhase::Waiting || isFinal(job->phase)) {
        return stopRun(target, row.task, kept, now);
    }
    task->phase = TaskPhase::Ordered;
    task->target = &target;
    task->isAtWork = row.percent >= fullPercent;
    --step->waiting;
    ++step->ordered;
    if (!row.checkpoint.empty()) {
        task->checkpoint = row.checkpoint;
    }
    if (job->phase == JobPhase::Queued) {
        job->phase = JobPhase::Running;
        makeDirty(*job, false, now);
    }
}

// Runs that a list sent after they were known to run no longer shows, and stopped starts that never
// came to run.
void OwnerCore::dropVanished(TargetState &target, const HoldReport &report, TimePoint sentAt,
                             TimePoint now)
{
    // A full page of ends may hide more; the next list tells.
    constexpr std::size_t pageOfEnds = 500;
    if (report.ends.size() >= pageOfEnds) {
        return;
    }
    std::unordered_set<TaskRef> shown;
    for (const auto &row : report.running) {
        shown.insert(row.task);
    }
    std::vector<TaskRef> vanished;
    for (const auto &[task, run] : target.runs) {
        if (shown.contains(task)) {
            continue;
        }
        const bool wasListed = (run.phase == RunPhase::Running || run.phase == RunPhase::Stopping)
                               && run.confirmedAt < sentAt;
        const bool neverCame = run.phase == RunPhase::Unclear && run.stopAnsweredAt
                               && *run.stopAnsweredAt < sentAt;
        if (wasListed || neverCame) {
            vanished.push_back(task);
        }
    }
    for (const auto &task : vanished) {
        tell(Decision::Kind::Vanished, task, target.runs.at(task).attempt, target.info.id);
        dropRun(target, task);
        JobState *job = nullptr;
        StepState *step = nullptr;
        if (auto *state = findTask(task, &job, &step);
            state != nullptr && state->target == &target) {
            release(*job, *step, *state, now);
        }
    }
}

void OwnerCore::startAnswered(const StartOrder &order, OrderAnswer answer, TimePoint now)
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
    switch (answer) {
    case OrderAnswer::Accepted:
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
            run.progressAt = now;
            if (job != nullptr && job->phase == JobPhase::Queued) {
                job->phase = JobPhase::Running;
                makeDirty(*job, false, now);
            }
        }
        return;
    case OrderAnswer::Unclear:
        if (run.phase == RunPhase::Starting) {
            stopRun(*target, order.task, run, now);
        }
        return;
    default:
        break;
    }
    tell(Decision::Kind::StartRefused, order.task, order.attempt, order.targetId,
         std::to_string(static_cast<int>(answer)));
    dropRun(*target, order.task);
    if (answer == OrderAnswer::NoTicket && step != nullptr) {
        step->tickets.erase(order.targetId);
    } else {
        // The same target is not asked again at once.
        constexpr std::chrono::milliseconds refusalPause{500};
        target->avoidedUntil = std::max(target->avoidedUntil, now + refusalPause);
    }
    if (task == nullptr || task->target != target) {
        return;
    }
    release(*job, *step, *task, now);
    if (step->spec->isGang) {
        // The others would wait for this member in vain.
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

void OwnerCore::stopAnswered(const StopOrder &order, OrderAnswer answer, TimePoint now)
{
    auto *target = findTarget(order.targetId);
    if (target == nullptr) {
        return;
    }
    const auto found = target->runs.find(order.task);
    if (found == target->runs.end() || found->second.attempt != order.attempt) {
        return;
    }
    if (answer == OrderAnswer::Accepted || answer == OrderAnswer::Old) {
        found->second.stopAnsweredAt = now;
        if (found->second.phase == RunPhase::Stopping) {
            found->second.confirmedAt = std::max(found->second.confirmedAt, now);
        }
    }
}

void OwnerCore::paceAnswered(const PaceOrder &order, OrderAnswer answer, TimePoint)
{
    auto *target = findTarget(order.targetId);
    const auto found = target == nullptr ? decltype(target->runs.find(order.task)){}
                                         : target->runs.find(order.task);
    if (target == nullptr || found == target->runs.end() || answer == OrderAnswer::Accepted) {
        return;
    }
    // Not known to be in force: ordered anew by the next plan.
    found->second.orderedPace = -1;
}

void OwnerCore::setLeaving(const std::string &id, bool isLeaving)
{
    if (auto *target = findTarget(id)) {
        target->isLeaving = isLeaving;
    }
}

void OwnerCore::targetTakenDown(const std::string &id, TimePoint now)
{
    if (auto *target = findTarget(id)) {
        loseRuns(*target, Decision::Kind::Vanished, now);
        m_targets.erase(id);
    }
}

TargetLoad OwnerCore::load(const std::string &id) const
{
    TargetLoad load;
    const auto *target = findTarget(id);
    if (target == nullptr) {
        return load;
    }
    load.runs = target->runs.size();
    load.usedShare =
            static_cast<double>(target->used.processors)
            / static_cast<double>(std::max<std::int64_t>(target->info.capacity.processors, 1));
    for (const auto &[task, run] : target->runs) {
        if (!run.lasts) {
            continue;
        }
        ++load.lasting;
        const auto job = m_jobs.find(task.job);
        if (job == m_jobs.end()) {
            continue;
        }
        const auto occurrence = job->second->occurrences.find(task.occurrence);
        if (occurrence == job->second->occurrences.end()) {
            continue;
        }
        const auto &step = occurrence->second.steps[task.step];
        if (isNeeded(step)) {
            ++load.needed;
        }
    }
    return load;
}

double OwnerCore::runTimeRatio(const std::string &queue) const
{
    // Before some runs have ended the guess stands.
    constexpr double enoughSeconds = 5;
    const auto found = m_runTimes.find(queue);
    return found == m_runTimes.end() || found->second.guessed < enoughSeconds
                   ? 1
                   : found->second.real / found->second.guessed;
}

std::map<std::string, PoolDemand> OwnerCore::demands(TimePoint now) const
{
    std::map<std::string, PoolDemand> demands;
    constexpr double milli = 0.001;
    for (const auto &[id, target] : m_targets) {
        if (!target->isListed || target->info.isDraining || target->failedCalls > 0) {
            continue;
        }
        auto &demand = demands[target->info.service];
        demand.processors += milli * static_cast<double>(target->info.capacity.processors);
        demand.used += milli * static_cast<double>(target->used.processors);
        ++demand.targets;
        for (const auto &[task, run] : target->runs) {
            demand.lasting += run.lasts ? milli * static_cast<double>(run.room.processors) : 0;
        }
    }
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(job->phase)) {
            continue;
        }
        auto &demand = demands[job->submission.service];
        const double ratio = runTimeRatio(job->submission.queue);
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps) {
                if (step.spec->lasts) {
                    demand.lastingWaiting +=
                            step.spec->fills
                                    ? 0
                                    : milli * step.waiting
                                              * static_cast<double>(step.spec->need.processors);
                } else if (occurrence.objective > now) {
                    demand.waitingWork += milli * milli * ratio * step.waiting
                                          * static_cast<double>(step.spec->need.processors)
                                          * static_cast<double>(step.spec->estimate.count());
                }
            }
        }
    }
    return demands;
}

// Tasks of a lasting step that are not at work, whatever the cause.
std::uint32_t OwnerCore::tasksAway(const StepState &step) const
{
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const auto &task = step.tasks[index];
        away += task.target == nullptr || !task.isAtWork || task.target->failedCalls > 0 ? 1 : 0;
    }
    return away;
}

bool OwnerCore::isNeeded(const StepState &step) const
{
    return step.spec->mayBeAway > 0 && tasksAway(step) >= step.spec->mayBeAway;
}

} // namespace cyclamenlatch::scheduling
