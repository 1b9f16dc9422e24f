// The leaving marks that one entry has seen, by scope. It never goes back to older marks. A lifted
// mark of the pools stays until the entry has read where the worker went: before that it would
// send the worker requests of the pool that it has left.
#pragma once

#include "maintenance/maintenancemessages.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::maintenance {

// The scope of workers that drain to change their pool.
inline constexpr const char *poolScope = "pools";

class LeavingMarks
{
public:
    // Returns false for a poll that is older than what was seen.
    bool take(const DrainPoll &poll);
    // The assignments of workers that this entry has read and routes by: the revision of the store
    // and that of each worker's record.
    void noteRead(store::StoreRevision revision,
                  std::unordered_map<WorkerId, store::StoreRevision> records);
    // All workers that must get nothing new.
    std::set<WorkerId> workers() const;
    const std::vector<LeavingMark> &marks(const std::string &scope) const;
    std::vector<DrainPoll> polls() const;

private:
    struct Lifted
    {
        LeavingMark mark;
        // Of the poll that no longer had the mark.
        store::StoreRevision revision = 0;
    };

    void holdLifted(const DrainPoll &older, const DrainPoll &newer);
    bool knowsWhatFollowed(const Lifted &lifted) const;
    void dropKnown();

    std::map<std::string, DrainPoll> m_newest;
    std::unordered_map<WorkerId, Lifted> m_lifted;
    store::StoreRevision m_readRevision = 0;
    std::unordered_map<WorkerId, store::StoreRevision> m_readRecords;
};

} // namespace cyclamenlatch::maintenance
