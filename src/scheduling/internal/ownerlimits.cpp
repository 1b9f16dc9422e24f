// Limits of jobs: those of the configuration, and the latest known ones of queues and workspaces
// that the configuration does not name.
#include "scheduling/ownercore.h"

#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling {

namespace {

template<typename Rules, typename Former>
auto findLimits(const Rules &rules, const Former &former, const std::string &name)
        -> decltype(&former.begin()->second.limits)
{
    if (const auto current = rules.find(name); current != rules.end()) {
        return current->second;
    }
    const auto known = former.find(name);
    return known == former.end() ? nullptr : &known->second.limits;
}

// The limits of the latest configuration hold.
template<typename Former>
void learn(Former &former, const std::string &name, typename Former::mapped_type limits)
{
    const auto [known, isNew] = former.try_emplace(name, limits);
    if (!isNew && known->second.version < limits.version) {
        known->second = limits;
    }
}

// Keeps the limits of the names that are in use and that the next rules lack.
template<typename Former, typename Rule>
void retain(Former &former, std::unordered_set<std::string> inUse, const std::vector<Rule> &current,
            std::uint64_t version, const std::vector<Rule> &next)
{
    for (const auto &rule : next) {
        inUse.erase(rule.name);
    }
    std::erase_if(former, [&](const auto &item) { return !inUse.contains(item.first); });
    for (const auto &rule : current) {
        if (inUse.contains(rule.name)) {
            learn(former, rule.name, {version, rule});
        }
    }
}

} // namespace

void OwnerCore::setRules(FleetRules rules, TimePoint now)
{
    retainFormerLimits(rules);
    m_rules = std::move(rules);
    m_queues.clear();
    for (const auto &queue : m_rules.queues) {
        m_queues.emplace(queue.name, &queue);
    }
    m_workspaces.clear();
    for (const auto &workspace : m_rules.workspaces) {
        m_workspaces.emplace(workspace.name, &workspace);
    }
    listUnassignedTargets(now);
}

void OwnerCore::retainFormerLimits(const FleetRules &next)
{
    std::unordered_set<std::string> queues;
    std::unordered_set<std::string> workspaces;
    for (const auto &[id, job] : m_jobs) {
        queues.insert(job->submission.queue);
        workspaces.insert(job->submission.workspace);
    }
    retain(m_formerQueues, std::move(queues), m_rules.queues, m_rules.version, next.queues);
    retain(m_formerWorkspaces, std::move(workspaces), m_rules.workspaces, m_rules.version,
           next.workspaces);
}

// Another entry may have accepted the job under a configuration that this owner no longer has, or
// does not have yet.
void OwnerCore::learnLimits(const JobSubmission &submission)
{
    if (!submission.limits) {
        return;
    }
    const auto &limits = *submission.limits;
    if (!m_queues.contains(submission.queue)) {
        learn(m_formerQueues, submission.queue, {limits.version, limits.queue});
    }
    if (!submission.workspace.empty() && !m_workspaces.contains(submission.workspace)) {
        learn(m_formerWorkspaces, submission.workspace, {limits.version, limits.workspace});
    }
}

const QueueLimits *OwnerCore::queueLimits(const std::string &name) const
{
    return findLimits(m_queues, m_formerQueues, name);
}

const WorkspaceLimits *OwnerCore::workspaceLimits(const std::string &name) const
{
    return findLimits(m_workspaces, m_formerWorkspaces, name);
}

OwnerCore::AttemptsLeft OwnerCore::attemptsLeft(const JobState &job, const StepState &step,
                                                const TaskState &task) const
{
    const auto failures =
            step.spec->isGang ? step.gangFailedAttempts.size() : task.failedAttempts.size();
    if (failures == 0 || step.spec->isLongRunning) {
        return AttemptsLeft::Yes;
    }
    const auto *limits = queueLimits(job.submission.queue);
    if (limits == nullptr) {
        return AttemptsLeft::Unknown;
    }
    return failures < std::max<std::uint32_t>(limits->maxAttempts, 1) ? AttemptsLeft::Yes
                                                                      : AttemptsLeft::No;
}

bool OwnerCore::checkAttempts(JobState &job, const StepState &step, const TaskRef &ref,
                              TimePoint now)
{
    const auto left = attemptsLeft(job, step, step.tasks[ref.index]);
    if (left == AttemptsLeft::No) {
        const auto *limits = queueLimits(job.submission.queue);
        reportDecision(Decision::Kind::AttemptsExhausted, ref, 0, {},
                       "limit " + std::to_string(limits->maxAttempts)
                               + (m_queues.contains(job.submission.queue)
                                          ? ""
                                          : ", of a queue that is no longer configured"));
        finishJob(job, JobPhase::Failed, now);
    }
    return left == AttemptsLeft::Yes;
}

} // namespace cyclamenlatch::scheduling
