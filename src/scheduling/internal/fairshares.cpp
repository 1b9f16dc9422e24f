// Tags and virtual times of workspaces.
#include "scheduling/fairshares.h"

#include <algorithm>

namespace cyclamenlatch::scheduling {

namespace {

// Stands in for weights of zero and below, which would get nothing at all.
constexpr double minWeight = 0.01;
// A workspace waits no longer than this for others to catch up, in seconds of its own share: one of
// them may wait for something that never comes, so that its tag stands still.
constexpr double maxLead = 5;

} // namespace

void FairShares::beginRound(const std::string &pool, const std::map<std::string, double> &waiting)
{
    auto &state = m_pools[pool];
    double lowest = 0;
    bool isFirst = true;
    state.weights = 0;
    for (const auto &[workspace, weight] : waiting) {
        const auto known = state.tags.find(workspace);
        const double tag = known == state.tags.end() ? state.virtualTime : known->second;
        lowest = isFirst ? tag : std::min(lowest, tag);
        isFirst = false;
        state.weights += std::max(weight, minWeight);
    }
    state.weights = std::max(state.weights, minWeight);
    state.virtualTime = std::max(state.virtualTime, lowest);
    std::erase_if(state.tags, [&](const auto &item) { return item.second <= state.virtualTime; });
}

double FairShares::lead(const std::string &pool, const std::string &workspace) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return 0;
    }
    const auto &state = found->second;
    const auto tag = state.tags.find(workspace);
    return tag == state.tags.end()
                   ? 0
                   : std::max(0.0, state.weights * (tag->second - state.virtualTime));
}

double FairShares::ownSeconds(const std::string &pool, double weight, double poolSeconds) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end()
                   ? 0
                   : found->second.weights * poolSeconds / std::max(weight, minWeight);
}

void FairShares::charge(const std::string &pool, const std::string &workspace, double weight,
                        double poolSeconds)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    auto &state = found->second;
    auto &tag = state.tags.try_emplace(workspace, state.virtualTime).first->second;
    tag = std::min(std::max(tag, state.virtualTime) + poolSeconds / std::max(weight, minWeight),
                   state.virtualTime + maxLead / state.weights);
}

void FairShares::keepBusy(const std::set<std::string> &pools)
{
    std::erase_if(m_pools, [&](const auto &item) { return !pools.contains(item.first); });
}

} // namespace cyclamenlatch::scheduling
