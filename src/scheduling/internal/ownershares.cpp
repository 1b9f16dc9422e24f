// Fair order of workspaces whose steps wait for room in the same pool.
#include "scheduling/ownercore.h"

#include "scheduling/internal/openstep.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace cyclamenlatch::scheduling {

namespace {

// Workspaces that are ahead by less than this, in seconds of their share, count as equal: then the
// latest start decides.
constexpr double roundSeconds = 0.5;

double shareOf(std::int64_t amount, std::int64_t capacity)
{
    return capacity <= 0 ? 0 : static_cast<double>(amount) / static_cast<double>(capacity);
}

} // namespace

double OwnerCore::workspaceWeight(const std::string &workspace) const
{
    const auto *limits = workspaceLimits(workspace);
    return limits == nullptr ? 1 : limits->weight;
}

double OwnerCore::poolSeconds(JobState &job, std::uint32_t stepIndex, TimePoint now) const
{
    const auto found = m_poolCapacity.find(job.submission.service);
    if (found == m_poolCapacity.end()) {
        return 0;
    }
    const auto resources = job.submission.spec.steps[stepIndex].allocatedResources();
    const auto &capacity = found->second;
    const double share = std::max({shareOf(resources.processors, capacity.processors),
                                   shareOf(resources.memoryMib, capacity.memoryMib),
                                   shareOf(resources.accelerators, capacity.accelerators)});
    return share * toSeconds(expectedRunTime(job, stepIndex, now).mean);
}

void OwnerCore::chargeShare(JobState &job, std::uint32_t stepIndex, TimePoint now)
{
    const auto &service = job.submission.service;
    if (job.submission.spec.steps[stepIndex].isLongRunning || !m_shares.isBusy(service)) {
        return;
    }
    const auto &workspace = job.submission.workspace;
    m_shares.charge(service, workspace, workspaceWeight(workspace),
                    poolSeconds(job, stepIndex, now));
}

// Steps are given the rounds that they would start in if all of their workspace's earlier ones were
// started before them.
void OwnerCore::orderFairly(std::vector<OpenStep> &steps, const Pools &pools, TimePoint now)
{
    const auto isContested = [&](const OpenStep &open) {
        const auto &service = open.job->submission.service;
        return !open.step->spec->isLongRunning && m_crowded.contains(service)
               && pools.contains(service);
    };
    std::map<std::string, std::map<std::string, double>> waiting;
    for (const auto &open : steps) {
        if (isContested(open)) {
            const auto &workspace = open.job->submission.workspace;
            waiting[open.job->submission.service].try_emplace(workspace, 1);
        }
    }
    for (auto &[service, weights] : waiting) {
        for (auto &[workspace, weight] : weights) {
            weight = workspaceWeight(workspace);
        }
        m_shares.beginRound(service, weights);
    }
    // Within a class, by service and workspace.
    std::unordered_map<std::string_view, std::unordered_map<std::string_view, double>> leads;
    for (auto first = steps.begin(); first != steps.end();) {
        const auto classKey = first->classKey();
        const auto last = std::find_if(first, steps.end(), [&](const OpenStep &open) {
            return open.classKey() != classKey;
        });
        leads.clear();
        for (auto open = first; open != last; ++open) {
            const auto &submission = open->job->submission;
            const auto weights = waiting.find(submission.service);
            if (weights == waiting.end() || weights->second.size() < 2
                || open->step->spec->isLongRunning) {
                continue;
            }
            const auto [lead, isFirst] =
                    leads[submission.service].try_emplace(submission.workspace);
            if (isFirst) {
                lead->second = m_shares.lead(submission.service, submission.workspace);
            }
            open->fairRound = static_cast<std::int64_t>(lead->second / roundSeconds);
            lead->second += open->step->waiting
                            * m_shares.ownSeconds(submission.service,
                                                  weights->second.at(submission.workspace),
                                                  poolSeconds(*open->job, open->stepIndex, now));
        }
        if (!leads.empty()) {
            std::sort(first, last, [](const OpenStep &left, const OpenStep &right) {
                return left.key() < right.key();
            });
        }
        first = last;
    }
}

std::set<std::string> OwnerCore::crowdedServices(const std::vector<OpenStep> &steps)
{
    std::set<std::string> crowded;
    for (const auto &open : steps) {
        if (open.step->waiting > 0 && !open.step->spec->isLongRunning) {
            crowded.insert(open.job->submission.service);
        }
    }
    return crowded;
}

} // namespace cyclamenlatch::scheduling
