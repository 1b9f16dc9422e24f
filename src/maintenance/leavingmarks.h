// The leaving marks that one entry has seen, by scope. It never goes back to older marks.
#pragma once

#include "maintenance/maintenancemessages.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::maintenance {

class LeavingMarks
{
public:
    // Returns false for a poll that is older than what was seen.
    bool take(const DrainPoll &poll);
    // All workers that must get nothing new.
    std::set<WorkerId> workers() const;
    const std::vector<LeavingMark> &marks(const std::string &scope) const;
    std::vector<DrainPoll> polls() const;

private:
    std::map<std::string, DrainPoll> m_newest;
};

} // namespace cyclamenlatch::maintenance
