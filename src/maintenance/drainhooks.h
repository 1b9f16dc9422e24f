// What the maintenance module needs from the part of the entry that sends requests.
#pragma once

#include "global/ids.h"

#include <cstddef>
#include <functional>
#include <set>

namespace cyclamenlatch::maintenance {

// All are thread-safe and don't block.
struct DrainHooks
{
    // From now on these workers, and no others, get nothing new.
    std::function<void(std::set<WorkerId>)> setLeaving;
    // Requests that this entry has with a worker, those of unknown outcome included.
    std::function<unsigned(const WorkerId &)> inFlight;
    std::function<std::size_t(const WorkerId &)> openConnections;
    // Closes the connections that carry nothing.
    std::function<void(const WorkerId &)> closeIdleConnections;
};

} // namespace cyclamenlatch::maintenance
