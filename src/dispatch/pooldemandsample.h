// Demand on one pool through this entry.
#pragma once

#include "global/ids.h"

#include <cstddef>
#include <cstdint>

namespace cyclamenlatch::dispatch {

struct PoolDemandSample
{
    PoolId pool;
    // Requests submitted since the entry started, including refused ones.
    std::uint64_t arrivals = 0;
    // Requests that are queued now.
    std::size_t queued = 0;
    // Moving average of the duration of successful runs, in seconds; 0 before the first.
    double meanSeconds = 0;
};

} // namespace cyclamenlatch::dispatch
