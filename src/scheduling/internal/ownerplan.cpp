// Planning: who goes first, where each task goes, what is stopped or slowed on targets.
#include "scheduling/ownercore.h"

#include "scheduling/internal/jobchain.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;
using detail::TaskPhase;

namespace {

// A stop without effect is sent again after this.
constexpr std::chrono::milliseconds stopRepeat{500};
// A target whose calls fail in a row gets no new work.
constexpr std::uint32_t failedCallsBeforeRest = 1;
// A lasting task that finds no room has a target kept free for it after this, and work of others
// stopped there after this. The platform wants it back within nine seconds.
constexpr std::chrono::milliseconds reserveAfter{300};
constexpr std::chrono::milliseconds preemptAfter{2500};
constexpr std::chrono::seconds reserveTime{4};
// Without progress for this long, as its target reports, a task hangs.
constexpr std::chrono::milliseconds stallTime{2500};
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
constexpr std::uint32_t attemptsPerTerm = 4096;
// A ticket is used no later than this before it ends, for the start's way.
constexpr std::chrono::milliseconds ticketMargin{300};
// The advice service takes one call after the other and refuses when 32 wait.
constexpr std::uint32_t mostAdviceCalls = 4;
constexpr std::chrono::milliseconds adviceRetry{200};
constexpr std::size_t mostAdvised = 100;
constexpr std::uint32_t advisedPerTask = 3;
constexpr std::chrono::seconds refusedAdvice{60};

} // namespace

struct OwnerCore::OpenStep
{
    JobState *job = nullptr;
    OccurrenceState *occurrence = nullptr;
    StepState *step = nullptr;
    std::uint32_t stepIndex = 0;
    // Lasting tasks come first, those that fill after those that don't.
    int band = 0;
    int priority = 0;
    // More than is owed, or too late to count in full.
    bool isBehind = false;
    // Null unless the queue has advice.
    const AdviceRule *advice = nullptr;
    TimePoint due{};
};

std::vector<Order> OwnerCore::plan(TimePoint now, WallTime wallNow)
{
    for (auto &[id, job] : m_jobs) {
        if (job->submission.spec.isTimed() && !isFinal(job->phase)) {
            openDue(*job, now, wallNow);
        }
    }
    planTargets(now);
    planPledged(now);
    planStarts(now);
    return std::exchange(m_orders, {});
}

void OwnerCore::planTargets(TimePoint now)
{
    std::vector<std::string> ended;
    for (auto &[id, target] : m_targets) {
        if (hasLapsed(*target, now)) {
            loseRuns(*target, Decision::Kind::Lapsed, now);
            if (!target->isListed) {
                ended.push_back(id);
                continue;
            }
        }
        if (!target->isListed && target->runs.empty() && target->isAdopted
            && target->failedCalls > failedCallsBeforeRest) {
            ended.push_back(id);
            continue;
        }
        planStops(*target, now);
        planPaces(*target, now);
        planStalls(*target, now);
        planEvacuation(*target, now);
    }
    for (const auto &id : ended) {
        m_targets.erase(id);
    }
}

void OwnerCore::planStops(TargetState &target, TimePoint now)
{
    for (auto &[task, run] : target.runs) {
        const bool isStopping = run.phase == RunPhase::Unclear || run.phase == RunPhase::Stopping;
        if (!isStopping || (run.stopSentAt && now - *run.stopSentAt < stopRepeat)) {
            continue;
        }
        if (run.phase == RunPhase::Unclear && run.stopAnsweredAt) {
            continue;
        }
        run.stopSentAt = now;
        m_orders.emplace_back(StopOrder{target.info.id, task, run.attempt});
    }
}

void OwnerCore::planPaces(TargetState &target, TimePoint now)
{
    double worst = 0;
    bool hasServing = false;
    for (const auto &[task, run] : target.runs) {
        if (run.serves && run.phase == RunPhase::Running && run.figure) {
            hasServing = true;
            worst = std::max(worst, static_cast<double>(*run.figure)
                                            / static_cast<double>(run.tailTarget.count()));
        }
    }
    for (auto &[task, run] : target.runs) {
        if (!run.fills || run.phase != RunPhase::Running) {
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
        if (run.phase != RunPhase::Running || run.fills) {
            continue;
        }
        JobState *job = nullptr;
        StepState *step = nullptr;
        const auto *state = findTask(task, &job, &step);
        if (state == nullptr || step->spec->isGang) {
            continue;
        }
        const auto bound = run.lasts ? Duration{startupTime} : Duration{stallTime};
        const bool isStalled = run.percent < 100 && target.lastAnswer - run.progressAt > bound;
        if (!isStalled) {
            continue;
        }
        tell(Decision::Kind::Stalled, task, run.attempt, target.info.id);
        blame(target, task.job, now);
        stopRun(target, task, run, now);
    }
}

// Lasting tasks leave a target that goes away, each step's no more at a time than it can spare.
void OwnerCore::planEvacuation(TargetState &target, TimePoint now)
{
    if (!target.isLeaving && !target.info.isDraining) {
        return;
    }
    for (auto &[task, run] : target.runs) {
        if (!run.lasts || run.phase != RunPhase::Running) {
            continue;
        }
        const auto *step = findStep(task, nullptr, nullptr);
        if (step == nullptr || (isNeeded(*step) && !target.info.isDraining)) {
            continue;
        }
        // One after the other also where the step's owner allows any number.
        if (step->spec->mayBeAway == 0 && tasksAway(*step) > 0 && !target.info.isDraining) {
            continue;
        }
        tell(Decision::Kind::Evacuated, task, run.attempt, target.info.id);
        stopRun(target, task, run, now);
    }
}

bool OwnerCore::isUsable(const TargetState &target, TimePoint now) const
{
    return target.isListed && target.isAdopted && target.isRecorded && !target.isLeaving
           && !target.info.isDraining && target.failedCalls < failedCallsBeforeRest
           && target.strangers == 0 && target.avoidedUntil <= now;
}

// A target that this owner has not heard yet may run tasks of the job.
bool OwnerCore::isUncertain(const JobState &job, TimePoint now) const
{
    return !job.isNew
           && std::any_of(job.targets.begin(), job.targets.end(), [&](const std::string &id) {
                  const auto *target = findTarget(id);
                  return target != nullptr && !target->isAdopted && !hasLapsed(*target, now);
              });
}

bool OwnerCore::mayUse(const std::string &workspace, const Room &need) const
{
    const auto *rule = workspaceRule(workspace);
    if (rule == nullptr) {
        return true;
    }
    const auto found = m_used.find(workspace);
    const Room used = found == m_used.end() ? Room{} : found->second;
    return (used + need + m_uncertainUse).isWithinCap(rule->cap);
}

std::vector<OwnerCore::OpenStep> OwnerCore::openSteps(TimePoint now)
{
    std::vector<OpenStep> open;
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job->phase)) {
            continue;
        }
        const auto *queue = queueRule(job->submission.queue);
        const double ratio = runTimeRatio(job->submission.queue);
        for (auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                auto &step = occurrence.steps[index];
                if (!step.isOpen || step.waiting == 0) {
                    continue;
                }
                OpenStep item{job.get(), &occurrence, &step, index};
                item.priority = queue == nullptr ? 0 : queue->priority;
                item.advice = queue != nullptr && queue->advice ? &*queue->advice : nullptr;
                if (step.spec->lasts) {
                    item.band = step.spec->fills ? 1 : 0;
                    item.due = job->arrived;
                } else {
                    item.band = 2;
                    // By the latest start that still meets the objective.
                    const auto rest = std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double, std::milli>(ratio * job->chains[index]));
                    item.due = occurrence.objective - rest;
                    item.isBehind = job->isExcess || now > item.due;
                }
                open.push_back(item);
            }
        }
    }
    std::sort(open.begin(), open.end(), [](const OpenStep &left, const OpenStep &right) {
        return std::tuple(left.band, left.isBehind, left.priority, left.due,
                          left.job->submission.id, left.occurrence->number, left.stepIndex)
               < std::tuple(right.band, right.isBehind, right.priority, right.due,
                            right.job->submission.id, right.occurrence->number, right.stepIndex);
    });
    return open;
}

void OwnerCore::planStarts(TimePoint now)
{
    m_uncertainUse = Room{};
    std::unordered_map<std::string, std::vector<TargetState *>> pools;
    Room largest;
    for (auto &[id, target] : m_targets) {
        largest.processors = std::max(largest.processors, target->info.capacity.processors);
        largest.memoryMib = std::max(largest.memoryMib, target->info.capacity.memoryMib);
        largest.accelerators = std::max(largest.accelerators, target->info.capacity.accelerators);
        if (isUsable(*target, now)) {
            pools[target->info.service].push_back(target.get());
        }
    }
    for (auto &[id, target] : m_targets) {
        if (!target->isAdopted && !hasLapsed(*target, now)) {
            m_uncertainUse += target->info.capacity == Room{} ? largest : target->info.capacity;
        } else if (target->strangers > 0) {
            m_uncertainUse += target->info.capacity - target->used;
        }
    }
    for (auto &[service, pool] : pools) {
        std::sort(pool.begin(), pool.end(), [](const auto *left, const auto *right) {
            return left->info.id < right->info.id;
        });
    }
    for (const auto &open : openSteps(now)) {
        const auto &service = open.job->submission.service;
        const auto pool = pools.find(service);
        if (pool == pools.end() || isUncertain(*open.job, now)) {
            continue;
        }
        if (open.advice != nullptr) {
            askAdvice(open, pool->second, now);
        }
        if (open.step->spec->isGang) {
            startGang(open, pool->second, now);
        } else {
            startStep(open, pool->second, now);
        }
    }
}

void OwnerCore::startStep(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    auto room = open.step->spec->need;
    if (open.step->spec->fills) {
        room.processors = 0;
    }
    for (std::uint32_t index = 0; index < open.step->tasks.size(); ++index) {
        auto &task = open.step->tasks[index];
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        const TaskRef ref{open.job->submission.id, open.occurrence->number, open.stepIndex, index};
        if (!mayUse(open.job->submission.workspace, room)) {
            return;
        }
        auto *target = choose(open, task, ref, pool, now);
        if (target != nullptr) {
            start(open, index, *target, (m_settings.term - 1) * attemptsPerTerm + ++task.starts,
                  now);
        } else if (open.step->spec->lasts && now - task.waitingSince > reserveAfter) {
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
    auto room = spec.need;
    if (spec.fills) {
        room.processors = 0;
    }
    const std::string *rackOfOthers = nullptr;
    if (spec.wantsOneRack) {
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
        if (target->avoidedUntil > now
            || (target->reservedFor && *target->reservedFor != ref && target->reservedUntil > now)
            || (!spec.requiredLabel.empty() && !target->info.hasLabel(spec.requiredLabel))
            || !room.fitsIn(target->info.capacity - target->used)
            || !isAdvised(open, *target, now)) {
            continue;
        }
        if (spec.mostPerTarget > 0) {
            const auto here =
                    std::count_if(open.step->tasks.begin(), open.step->tasks.end(),
                                  [&](const auto &other) { return other.target == target; });
            if (static_cast<std::uint32_t>(here) >= spec.mostPerTarget) {
                continue;
            }
        }
        const auto free = target->info.capacity - target->used;
        const double freeShare =
                static_cast<double>(free.processors)
                / static_cast<double>(std::max<std::int64_t>(target->info.capacity.processors, 1));
        // Lower is better: tight, so that whole targets stay free for large tasks and other pools.
        double score = freeShare;
        if (spec.lasts) {
            for (const auto &[other, run] : target->runs) {
                score += (spec.fills && run.serves) || (spec.serves() && run.fills) ? 2 : 0;
            }
        }
        score += !spec.dataRack.empty() && !target->info.hasLabel(spec.dataRack)
                         ? 4 * (m_settings.remoteFactor - 1)
                         : 0;
        score += rackOfOthers != nullptr && target->info.rack() != *rackOfOthers
                         ? 4 * (m_settings.remoteFactor - 1)
                         : 0;
        score += target->info.id == task.failedOn ? 8 : 0;
        score += target->failuresInRow;
        if (best == nullptr || score < bestScore) {
            best = target;
            bestScore = score;
        }
    }
    return best;
}

bool OwnerCore::isAdvised(const OpenStep &open, const TargetState &target, TimePoint now)
{
    if (open.advice == nullptr) {
        return true;
    }
    const auto ticket = open.step->tickets.find(target.info.id);
    return ticket != open.step->tickets.end() && !ticket->second.text.empty()
           && ticket->second.validUntil > now + ticketMargin;
}

// Asks for targets of which nothing valid is known, those with the most room first, a few more than
// the step needs. One call for a step at a time.
void OwnerCore::askAdvice(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    auto &step = *open.step;
    if (step.isAdviceAsked || now < step.adviceAfter || m_adviceCalls >= mostAdviceCalls) {
        return;
    }
    std::uint32_t usable = 0;
    std::vector<TargetState *> unknown;
    for (auto *target : pool) {
        const auto ticket = step.tickets.find(target->info.id);
        const bool isKnown =
                ticket != step.tickets.end() && ticket->second.validUntil > now + ticketMargin;
        if (!isKnown) {
            unknown.push_back(target);
        } else if (isAdvised(open, *target, now)) {
            ++usable;
        }
    }
    if (unknown.empty() || usable >= step.waiting) {
        return;
    }
    std::sort(unknown.begin(), unknown.end(), [](const auto *left, const auto *right) {
        return std::pair(left->used.processors - left->info.capacity.processors, left->info.id)
               < std::pair(right->used.processors - right->info.capacity.processors,
                           right->info.id);
    });
    const auto wanted = std::min<std::size_t>(
            {unknown.size(), mostAdvised, std::size_t{advisedPerTask} * step.waiting});
    AdviseOrder order;
    order.step = TaskRef{open.job->submission.id, open.occurrence->number, open.stepIndex, 0};
    for (std::size_t index = 0; index < wanted; ++index) {
        order.targets.push_back(unknown[index]->info.id);
    }
    order.patience = open.advice->decision + open.advice->perTarget * wanted;
    step.isAdviceAsked = true;
    ++m_adviceCalls;
    m_orders.emplace_back(std::move(order));
}

void OwnerCore::adviceAnswered(const AdviseOrder &order,
                               const std::optional<std::vector<Advice>> &approved,
                               std::chrono::milliseconds validity, TimePoint now)
{
    --m_adviceCalls;
    auto *step = findStep(order.step, nullptr, nullptr);
    if (step == nullptr) {
        return;
    }
    step->isAdviceAsked = false;
    if (!approved) {
        step->adviceAfter = now + adviceRetry;
        return;
    }
    // The advice for a step does not change: refused targets are not asked about again soon.
    for (const auto &target : order.targets) {
        step->tickets[target] = {{}, now + refusedAdvice};
    }
    for (const auto &advice : *approved) {
        step->tickets[advice.target] = {advice.ticket, now + validity};
    }
}

// Keeps one target free for a lasting task, and in the end makes room there.
void OwnerCore::reserve(const OpenStep &open, const TaskState &task, const TaskRef &ref,
                        const std::vector<TargetState *> &pool, TimePoint now)
{
    const auto &spec = *open.step->spec;
    auto room = spec.need;
    if (spec.fills) {
        room.processors = 0;
    }
    TargetState *best = nullptr;
    for (auto *target : pool) {
        if (!spec.requiredLabel.empty() && !target->info.hasLabel(spec.requiredLabel)) {
            continue;
        }
        if (spec.mostPerTarget > 0
            && std::count_if(open.step->tasks.begin(), open.step->tasks.end(),
                             [&](const auto &other) { return other.target == target; })
                       >= spec.mostPerTarget) {
            continue;
        }
        if (target->reservedFor && *target->reservedFor != ref && target->reservedUntil > now) {
            continue;
        }
        if (target->reservedFor == ref && target->reservedUntil > now) {
            best = target;
            break;
        }
        Room lasting;
        for (const auto &[other, run] : target->runs) {
            if (run.lasts) {
                lasting += run.room;
            }
        }
        if (!room.fitsIn(target->info.capacity - lasting)) {
            continue;
        }
        if (best == nullptr || target->used.processors < best->used.processors) {
            best = target;
        }
    }
    if (best == nullptr) {
        return;
    }
    best->reservedFor = ref;
    best->reservedUntil = now + reserveTime;
    if (now - task.waitingSince < preemptAfter) {
        return;
    }
    Room coming;
    std::vector<std::pair<int, TaskRef>> candidates;
    for (const auto &[other, run] : best->runs) {
        if (run.phase == RunPhase::Stopping || run.phase == RunPhase::Unclear) {
            coming += run.room;
        } else if (!run.lasts && run.phase == RunPhase::Running) {
            candidates.emplace_back(run.percent, other);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto &[percent, other] : candidates) {
        if (room.fitsIn(best->info.capacity - best->used + coming)) {
            return;
        }
        auto &run = best->runs.at(other);
        coming += run.room;
        tell(Decision::Kind::Preempted, other, run.attempt, best->info.id, "for a lasting task");
        stopRun(*best, other, run, now);
    }
}

void OwnerCore::startGang(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    auto &step = *open.step;
    if (step.waiting != step.spec->count) {
        return;
    }
    Room all;
    for (std::uint32_t index = 0; index < step.spec->count; ++index) {
        all += step.spec->need;
    }
    if (!mayUse(open.job->submission.workspace, all)) {
        return;
    }
    // Racks one by one where the gang wants one, then all together.
    std::vector<std::vector<TargetState *>> groups;
    if (step.spec->wantsOneRack) {
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
            // Taken for the time of the search, so that the next member sees it.
            step.tasks[index].target = target;
            target->used += step.spec->need;
            places.push_back(target);
        }
        for (std::size_t index = 0; index < places.size(); ++index) {
            step.tasks[index].target = nullptr;
            places[index]->used -= step.spec->need;
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
    const auto &spec = *open.step->spec;
    const TaskRef ref{open.job->submission.id, open.occurrence->number, open.stepIndex, index};
    task.phase = TaskPhase::Ordered;
    task.target = &target;
    --open.step->waiting;
    ++open.step->ordered;
    RunState run;
    run.attempt = attempt;
    run.room = spec.need;
    if (spec.fills) {
        run.room.processors = 0;
    }
    run.workspace = open.job->submission.workspace;
    run.fills = spec.fills;
    run.serves = spec.serves();
    run.lasts = spec.lasts;
    run.tailTarget = spec.tailTarget;
    run.orderedAt = now;
    run.progressAt = now;
    run.paceOrderedAt = now;
    target.used += run.room;
    m_used[run.workspace] += run.room;
    target.runs.emplace(ref, std::move(run));
    if (target.reservedFor == ref) {
        target.reservedFor.reset();
    }
    if (open.job->phase == JobPhase::Queued) {
        open.job->phase = JobPhase::Running;
    }
    auto &targets = open.job->targets;
    const auto known = std::find(targets.begin(), targets.end(), target.info.id);
    const auto place = static_cast<std::size_t>(known - targets.begin());
    if (known == targets.end()) {
        targets.push_back(target.info.id);
    }
    if (place < open.job->storedTargets) {
        sendStart(target, ref, target.runs.at(ref), now);
    } else {
        makeDirty(*open.job, true, now);
    }
}

bool OwnerCore::isStored(const JobState &job, const TargetState &target)
{
    const auto stored = job.targets.begin() + static_cast<std::ptrdiff_t>(job.storedTargets);
    return std::find(job.targets.begin(), stored, target.info.id) != stored;
}

void OwnerCore::sendStart(TargetState &target, const TaskRef &ref, RunState &run, TimePoint now)
{
    run.phase = RunPhase::Starting;
    run.orderedAt = now;
    run.progressAt = now;
    run.paceOrderedAt = now;
    StartOrder order;
    order.targetId = target.info.id;
    order.task = ref;
    order.attempt = run.attempt;
    order.leaseUntil = leaseFrom(target, now);
    if (const auto *task = findTask(ref); task != nullptr) {
        order.checkpoint = task->checkpoint;
    }
    if (const auto *step = findStep(ref, nullptr, nullptr); step != nullptr) {
        const auto ticket = step->tickets.find(target.info.id);
        order.ticket = ticket == step->tickets.end() ? std::string{} : ticket->second.text;
    }
    target.leaseUntil = std::max(target.leaseUntil, order.leaseUntil);
    target.lastOrderAt = now;
    m_orders.emplace_back(std::move(order));
    if (m_listener) {
        const auto *task = findTask(ref);
        Decision decision{Decision::Kind::Started, ref, run.attempt, target.info.id, {}, {}};
        decision.waited = task == nullptr ? std::nullopt : std::optional(now - task->waitingSince);
        m_listener(decision);
    }
}

// Sends the starts on targets that are now stored for their jobs.
void OwnerCore::planPledged(TimePoint now)
{
    for (const auto id : std::exchange(m_begun, {})) {
        const auto job = m_jobs.find(id);
        for (auto &[targetId, target] : m_targets) {
            std::vector<TaskRef> dropped;
            for (auto &[task, run] : target->runs) {
                if (task.job != id || run.phase != RunPhase::Pledged) {
                    continue;
                }
                if (job != m_jobs.end() && !isFinal(job->second->phase) && isUsable(*target, now)) {
                    sendStart(*target, task, run, now);
                } else {
                    dropped.push_back(task);
                }
            }
            for (const auto &task : dropped) {
                dropRun(*target, task);
                JobState *owner = nullptr;
                StepState *step = nullptr;
                if (auto *state = findTask(task, &owner, &step); state != nullptr) {
                    release(*owner, *step, *state, now);
                }
            }
        }
    }
}

} // namespace cyclamenlatch::scheduling
