// Targets: the known targets, their load, and the demand of their pools.
#include "scheduling/ownercore.h"

#include "scheduling/internal/criticalpath.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// Added to the stop timeout of an earlier owner's stops, for the list that shows the end.
constexpr std::chrono::milliseconds earlierStopMargin{150};
// Shortest window over which arriving work is averaged: several jobs long, but short compared with
// a peak of the pool.
constexpr double minArrivalWindowSeconds = 1;
// Weight of the last job in the mean length of a queue's jobs.
constexpr double jobLengthWeight = 0.1;

} // namespace

OwnerCore::TargetState &OwnerCore::targetState(const std::string &id)
{
    auto &target = m_targets[id];
    if (!target) {
        target = std::make_unique<TargetState>();
        target->info.id = id;
        target->hasEarlierCalls = m_tokenRises.contains(id);
        target->life = ++m_lives;
        const auto position = std::lower_bound(
                m_targetsById.begin(), m_targetsById.end(), id,
                [](const auto *other, const auto &name) { return other->info.id < name; });
        m_targetsById.insert(position, target.get());
    }
    return *target;
}

void OwnerCore::eraseTarget(const std::string &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    fenceEarlierCalls(*found->second);
    if (const auto settled = m_settled.extract(id)) {
        rememberSettled(id, settled.mapped());
    }
    std::erase(m_targetsById, found->second.get());
    std::erase(m_targetsToPlan, found->second.get());
    m_targets.erase(found);
}

void OwnerCore::scheduleForPlanning(TargetState &target)
{
    if (!std::exchange(target.isScheduledForPlanning, true)) {
        m_targetsToPlan.push_back(&target);
    }
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

bool OwnerCore::isServiceKnown(const std::string &service) const
{
    return std::any_of(m_rules.services.begin(), m_rules.services.end(),
                       [&](const auto &rule) { return rule.name == service; })
           || std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto &item) {
                  return item.second->submission.service == service;
              });
}

void OwnerCore::listUnassignedTargets(TimePoint now)
{
    const auto targets = std::exchange(m_unassignedTargets, {});
    for (const auto &[id, info] : targets) {
        // A target whose service is still not known is set aside again.
        targetListed(info, now);
        if (!m_unassignedTargets.contains(id)) {
            m_assignedTargets.push_back(id);
        }
    }
}

void OwnerCore::targetListed(const TargetInfo &info, TimePoint now)
{
    if (!isServiceKnown(info.service)) {
        targetUnlisted(info.id, now);
        m_unassignedTargets[info.id] = info;
        return;
    }
    m_unassignedTargets.erase(info.id);
    auto &target = targetState(info.id);
    if (!target.isListed) {
        target.lastAnswer = now;
    }
    target.isListed = true;
    target.info = info;
    if (const auto before = m_settledBefore.find(info.id);
        before != m_settledBefore.end() && info.incarnation != 0) {
        if (before->second == info.incarnation) {
            m_settled[info.id] = info.incarnation;
        }
        m_settledBefore.erase(before);
    }
    scheduleForPlanning(target);
    if (entryNamesLaterIncarnation(target)) {
        // The entry may be from another writer, so the target itself has to confirm it: until it
        // answers it gets no work, and its runs are not started elsewhere.
        target.isAdopted = false;
        m_settled.erase(info.id);
    }
}

void OwnerCore::targetUnlisted(const std::string &id, TimePoint)
{
    m_unassignedTargets.erase(id);
    if (auto *target = findTarget(id)) {
        target->isListed = false;
        scheduleForPlanning(*target);
    }
}

void OwnerCore::targetRestored(const std::string &id, TimePoint)
{
    auto &target = targetState(id);
    target.isRecorded = true;
    target.hasEarlierCalls = true;
    if (auto settled = m_settledBefore.extract(id)) {
        m_settled.insert(std::move(settled));
    }
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
    ids.reserve(m_targetsById.size());
    for (const auto *target : m_targetsById) {
        ids.push_back(target->info.id);
    }
    return ids;
}

bool OwnerCore::hasUnrecordedTargets() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &item) {
        return item.second->isListed && !item.second->isRecorded;
    });
}

std::vector<std::string> OwnerCore::targetsToKeepAlive() const
{
    std::vector<std::string> ids;
    for (const auto &[id, target] : m_targets) {
        if (!target->info.address.empty()) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::chrono::milliseconds OwnerCore::responseTimeout(const std::string &id) const
{
    const auto *target = findTarget(id);
    return target == nullptr ? std::chrono::milliseconds{} : target->responseTime.timeout();
}

void OwnerCore::setHostDraining(const std::string &id, bool isHostDraining)
{
    if (auto *target = findTarget(id)) {
        target->isHostDraining = isHostDraining;
        scheduleForPlanning(*target);
    }
}

void OwnerCore::hostsListed(const std::vector<HostInfo> &hosts, TimePoint now)
{
    std::vector<std::string> gone;
    for (const auto &[id, target] : m_targets) {
        if (target->isAdopted || target->failedCalls == 0) {
            continue;
        }
        const auto host = std::find_if(
                hosts.begin(), hosts.end(),
                [&name = target->info.host](const auto &item) { return item.name == name; });
        if (host == hosts.end()) {
            continue;
        }
        const bool isAway =
                host->state == HostState::Moving || host->state == HostState::Maintenance;
        const auto *current = findTarget(host->target);
        const bool isReplaced = host->state == HostState::Up && current != nullptr
                                && current != target.get() && target->info.incarnation > 0
                                && current->info.incarnation > target->info.incarnation;
        if (isAway || isReplaced) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        targetHostDown(id, now);
    }
}

void OwnerCore::targetHostDown(const std::string &id, TimePoint now)
{
    if (auto *target = findTarget(id)) {
        releaseRuns(*target, Decision::Kind::RunLost, now);
        eraseTarget(id);
    }
}

TargetLoad OwnerCore::load(const std::string &id, TimePoint now) const
{
    TargetLoad load;
    const auto *target = findTarget(id);
    if (target == nullptr) {
        // This owner has never used the target, or has seen all of its runs end.
        load.isKnown = id.empty() || hasLeaseExpired(m_began, m_settings.maxRunLease, now);
        return load;
    }
    load.isKnown = contactOf(*target) == Contact::Reachable || hasLeaseExpired(*target, now);
    load.runs = target->runs.size();
    load.hasUnrecordedEnds = target->endsSeen > target->endsRecorded;
    load.usedShare =
            static_cast<double>(target->used.processors)
            / static_cast<double>(std::max<std::int64_t>(target->info.capacity.processors, 1));
    for (const auto &[task, run] : target->runs) {
        if (!run.isLongRunning) {
            continue;
        }
        ++load.longRunning;
        const auto *step = findStep(task, nullptr, nullptr);
        load.nonEvictable += step != nullptr && isDisruptionBudgetExhausted(*step, now) ? 1 : 0;
    }
    return load;
}

bool OwnerCore::isIdle(const std::string &id) const
{
    const auto *target = findTarget(id);
    return target == nullptr ? id.empty()
                             : target->isAdopted && target->runs.empty()
                                       && target->endsSeen <= target->endsRecorded;
}

std::string OwnerCore::targetOn(const std::string &host) const
{
    const TargetState *found = nullptr;
    for (const auto *target : m_targetsById) {
        const bool isThere = target->isListed && target->info.host == host;
        if (isThere && (found == nullptr || target->info.incarnation > found->info.incarnation)) {
            found = target;
        }
    }
    return found == nullptr ? std::string{} : found->info.id;
}

bool OwnerCore::hasContactedAllTargets() const
{
    return !m_targets.empty()
           && std::none_of(m_targets.begin(), m_targets.end(), [](const auto &item) {
                  return item.second->isListed && contactOf(*item.second) == Contact::NotContacted;
              });
}

OwnerCore::Contact OwnerCore::contact(const std::string &id) const
{
    const auto *target = findTarget(id);
    return target == nullptr ? Contact::NotContacted : contactOf(*target);
}

OwnerCore::Contact OwnerCore::contactOf(const TargetState &target)
{
    if (target.failedCalls > 0) {
        return Contact::Unreachable;
    }
    return target.isAdopted ? Contact::Reachable : Contact::NotContacted;
}

double OwnerCore::Arrivals::workAt(TimePoint now) const
{
    return work * std::exp(-toSeconds(now - updated) / seconds);
}

void OwnerCore::countArrival(JobState &job, TimePoint now)
{
    constexpr double milli = 0.001;
    const auto &spec = job.submission.spec;
    auto &arrivals = m_arrivals[job.submission.queue];
    arrivals.work = arrivals.workAt(now);
    arrivals.service = job.submission.service;
    arrivals.updated = now;
    const double length =
            std::max(minArrivalWindowSeconds, milli * detail::longestPath(criticalPaths(job, now)));
    arrivals.seconds += jobLengthWeight * (length - arrivals.seconds);
    for (std::uint32_t index = 0; index < spec.steps.size(); ++index) {
        const auto &step = spec.steps[index];
        arrivals.work += milli * step.count * static_cast<double>(step.requiredResources.processors)
                         * toSeconds(expectedRunTime(job, index, now).mean);
    }
}

std::map<std::string, PoolDemand> OwnerCore::demands(TimePoint now) const
{
    std::map<std::string, PoolDemand> demands;
    constexpr double milli = 0.001;
    for (const auto &[id, target] : m_targets) {
        if (!target->isListed || target->info.isDraining || isEvacuated(*target)
            || target->failedCalls > 0) {
            continue;
        }
        auto &demand = demands[target->info.service];
        demand.processors += milli * static_cast<double>(target->info.capacity.processors);
        demand.used += milli * static_cast<double>(target->used.processors);
        ++demand.targets;
        for (const auto &[task, run] : target->runs) {
            demand.longRunning +=
                    run.isLongRunning ? milli * static_cast<double>(run.resources.processors) : 0;
        }
    }
    for (const auto &[queue, arrivals] : m_arrivals) {
        demands[arrivals.service].arriving += arrivals.workAt(now) / arrivals.seconds;
    }
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(job->phase)) {
            continue;
        }
        auto &demand = demands[job->submission.service];
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                const auto &step = occurrence.steps[index];
                if (step.spec->isLongRunning && step.spec->maxTasksPerTarget > 0) {
                    const std::size_t maxPerTarget = step.spec->maxTasksPerTarget;
                    demand.spread = std::max(demand.spread,
                                             (step.spec->count + maxPerTarget - 1) / maxPerTarget);
                }
                if (step.spec->isLongRunning) {
                    demand.longRunningWaiting +=
                            step.spec->usesSpareProcessors
                                    ? 0
                                    : milli * step.waiting
                                              * static_cast<double>(
                                                      step.spec->requiredResources.processors);
                } else if (step.isOpen && step.waiting > 0 && occurrence.objective > now) {
                    demand.openWork +=
                            milli * step.waiting
                            * static_cast<double>(step.spec->requiredResources.processors)
                            * toSeconds(expectedRunTime(*job, index, now).mean);
                }
            }
        }
    }
    return demands;
}

// The number of tasks of a long-running step that are not at work, whatever the cause. A run
// that was adopted just now may still be being stopped for an earlier owner, whose later stops the
// target refuses.
std::uint32_t OwnerCore::unavailableTasks(const StepState &step, TimePoint now) const
{
    const auto mayBeStopping = [&](const TaskState &task) {
        return now - task.adoptedAt < m_settings.stopTimeout + earlierStopMargin;
    };
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const auto &task = step.tasks[index];
        unavailable += task.target == nullptr || !task.isAtWork || task.target->failedCalls > 0
                                       || mayBeStopping(task)
                               ? 1
                               : 0;
    }
    return unavailable;
}

bool OwnerCore::isDisruptionBudgetExhausted(const StepState &step, TimePoint now) const
{
    return step.spec->maxUnavailable > 0
           && unavailableTasks(step, now) >= step.spec->maxUnavailable;
}

} // namespace cyclamenlatch::scheduling
