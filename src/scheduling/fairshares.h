// Start-time fair queueing of workspaces that wait for room in the same pool.
//
// Each workspace has a tag: the pool seconds that it was given, over its weight. The workspace with
// the lowest tag is served next. One that begins to wait starts at the pool's virtual time, the
// lowest tag of those that wait, so that nobody saves up a claim while it asks for nothing. Tags
// are forgotten when nothing waits any more: room that nobody else wanted costs nothing later.
#pragma once

#include <map>
#include <set>
#include <string>

namespace cyclamenlatch::scheduling {

class FairShares
{
public:
    // The workspaces that wait for room in the pool, with their weights.
    void beginRound(const std::string &pool, const std::map<std::string, double> &waiting);
    // How far the workspace is ahead of the pool's virtual time, in seconds of its own share: its
    // part of the weights of those that wait. At most maxLead.
    double lead(const std::string &pool, const std::string &workspace) const;
    // The use of a pool, as the product of the part used and seconds, in seconds of the share of a
    // workspace with this weight; 0 for a pool where nothing waits.
    double ownSeconds(const std::string &pool, double weight, double poolSeconds) const;
    // The workspace is given this use of the pool.
    void charge(const std::string &pool, const std::string &workspace, double weight,
                double poolSeconds);
    // Nothing waits for room in any other pool.
    void keepBusy(const std::set<std::string> &pools);
    bool isBusy(const std::string &pool) const { return m_pools.contains(pool); }

private:
    struct Pool
    {
        double virtualTime = 0;
        // Of those that wait.
        double weights = 1;
        // By workspace, those that are ahead of virtualTime.
        std::map<std::string, double> tags;
    };
    std::map<std::string, Pool> m_pools;
};

} // namespace cyclamenlatch::scheduling
