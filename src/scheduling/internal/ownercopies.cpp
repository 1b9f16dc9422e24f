// Copies: a second run of a task that would end sooner than the first one. Only steps that allow
// copies have them, and only room that no waiting task wants is used.
#include "scheduling/ownercore.h"

#include "scheduling/internal/openstep.h"
#include "scheduling/internal/ownerstate.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;
using detail::TaskPhase;

namespace {

// Part of a pool that copies may use.
constexpr double copyBudgetShare = 0.1;
// A target that has not answered for this long keeps its tasks until its leases expire, seconds
// later.
constexpr std::chrono::milliseconds silenceBeforeCopy{600};
// Time until a copy begins to work.
constexpr std::chrono::milliseconds copyOverhead{150};
// A copy has to end sooner by this factor, since the expected times are rough.
constexpr double copyGain = 1.5;
// Progress is reported at least this often while a task works.
constexpr std::chrono::milliseconds progressInterval{500};

// Time that the run is expected to go on for, as far as its progress tells; without any progress,
// one that has run for longer than nearly all is expected to take as long again.
Duration remainingTime(const detail::RunState &run, const RunTimeEstimate &usual, TimePoint now)
{
    const Duration ranFor = now - run.orderedAt;
    const Duration withoutProgress = now - run.progressAt;
    if (run.percent <= 0 || run.progressAt <= run.orderedAt) {
        return ranFor > usual.high ? ranFor : Duration{};
    }
    const Duration byProgress =
            (run.progressAt - run.orderedAt) * (100 - run.percent) / run.percent - withoutProgress;
    return std::max(byProgress, withoutProgress - progressInterval);
}

} // namespace

bool OwnerCore::isCopyable(const StepSpec &spec)
{
    return spec.allowsCopies && !spec.isGang && !spec.isLongRunning;
}

std::string OwnerCore::reasonToCopy(const TaskState &task, const TaskRef &ref,
                                    const RunTimeEstimate &usual, TimePoint now)
{
    const auto run = task.target->runs.find(ref);
    if (run == task.target->runs.end()) {
        return {};
    }
    if (task.target->failedCalls > 0 && now - task.target->lastAnswer >= silenceBeforeCopy) {
        return fmt::format("target silent for {} ms",
                           toMilliseconds(now - task.target->lastAnswer).count());
    }
    if (run->second.phase == RunPhase::OutcomeUnknown) {
        return "start not answered";
    }
    const auto newRun = usual.median + copyOverhead;
    const auto remaining = remainingTime(run->second, usual, now);
    if (run->second.phase != RunPhase::Running
        || toSeconds(remaining) <= copyGain * toSeconds(newRun)) {
        return {};
    }
    return fmt::format("remaining_ms={} new_run_ms={} percent={} known_runs={}",
                       toMilliseconds(remaining).count(), toMilliseconds(newRun).count(),
                       run->second.percent, usual.runs);
}

void OwnerCore::planCopies(const Pools &pools, TimePoint now)
{
    std::map<std::string, Resources> budgets;
    for (const auto &[service, capacity] : m_poolCapacity) {
        budgets[service] =
                Resources{static_cast<std::int64_t>(copyBudgetShare
                                                    * static_cast<double>(capacity.processors)),
                          static_cast<std::int64_t>(copyBudgetShare
                                                    * static_cast<double>(capacity.memoryMib)),
                          capacity.accelerators};
    }
    std::vector<OpenStep> candidates;
    for (auto at = m_copyableJobs.begin(); at != m_copyableJobs.end();) {
        const auto found = m_jobs.find(*at);
        if (found == m_jobs.end() || isFinal(found->second->phase)) {
            at = m_copyableJobs.erase(at);
            continue;
        }
        ++at;
        auto &job = *found->second;
        const auto *queue = queueLimits(job.submission.queue);
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                auto &step = occurrence.steps[index];
                if (step.ordered == 0 || !isCopyable(*step.spec)) {
                    continue;
                }
                const auto copies =
                        std::count_if(step.tasks.begin(), step.tasks.end(),
                                      [](const auto &task) { return task.copyTarget != nullptr; });
                budgets[job.submission.service] -= step.spec->allocatedResources() * copies;
                OpenStep open{&job, &occurrence, &step, index};
                open.advice = queue != nullptr && queue->advice ? &*queue->advice : nullptr;
                open.due = occurrence.objective;
                candidates.push_back(open);
            }
        }
    }
    // Those whose objective comes first.
    std::sort(candidates.begin(), candidates.end(),
              [](const OpenStep &left, const OpenStep &right) { return left.key() < right.key(); });
    auto full = m_crowded;
    for (const auto &open : candidates) {
        const auto &service = open.job->submission.service;
        const auto pool = pools.find(service);
        if (pool != pools.end() && !full.contains(service)
            && !copyTasks(open, pool->second, budgets[service], now)) {
            full.insert(service);
        }
    }
}

bool OwnerCore::copyTasks(const OpenStep &open, const std::vector<TargetState *> &pool,
                          Resources &budget, TimePoint now)
{
    const auto usual = expectedRunTime(*open.job, open.stepIndex, now);
    const auto resources = open.step->spec->allocatedResources();
    for (std::uint32_t index = 0; index < open.step->tasks.size(); ++index) {
        auto &task = open.step->tasks[index];
        const TaskRef ref{open.job->submission.id, open.occurrence->number, open.stepIndex, index};
        if (task.phase != TaskPhase::Ordered || task.target == nullptr
            || task.copyTarget != nullptr) {
            continue;
        }
        const auto reason = reasonToCopy(task, ref, usual, now);
        if (reason.empty() || attemptsLeft(*open.job, *open.step, task) != AttemptsLeft::Yes) {
            continue;
        }
        if (!resources.fitsIn(budget) || !mayUse(open.job->submission.workspace, resources)) {
            return false;
        }
        // A run that is being stopped there would take the copy's place.
        std::vector<TargetState *> others;
        std::copy_if(pool.begin(), pool.end(), std::back_inserter(others),
                     [&](const TargetState *target) { return !target->runs.contains(ref); });
        auto *target = choose(open, task, ref, others, now);
        if (target == nullptr) {
            return false;
        }
        budget -= resources;
        task.copyTarget = target;
        const auto attempt = nextAttempt(task);
        reportDecision(Decision::Kind::Copied, ref, attempt, target->info.id, reason);
        orderRun(open, ref, *target, attempt, now);
    }
    return true;
}

} // namespace cyclamenlatch::scheduling
