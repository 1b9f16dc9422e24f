// The demand on one pool as this entry sees it.
#pragma once

#include "global/ids.h"

#include <cstddef>
#include <cstdint>

namespace cyclamenlatch::dispatch {

struct PoolDemandSample
{
    PoolId pool;
    // Requests handed in since the start, those refused included.
    std::uint64_t arrivals = 0;
    // Requests that wait now.
    std::size_t queued = 0;
    // Moving average of a successful run, in seconds; 0 before the first.
    double meanSeconds = 0;
};

} // namespace cyclamenlatch::dispatch
