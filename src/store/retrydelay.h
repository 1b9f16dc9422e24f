// The delay before a failed store call is repeated.
#pragma once

#include "global/random.h"
#include "global/time.h"

#include <algorithm>
#include <chrono>

namespace cyclamenlatch::store {

inline constexpr std::chrono::milliseconds firstRetryDelay{50};
inline constexpr std::chrono::milliseconds longestRetryDelay{2000};

// Returns a uniform delay below an exponentially growing bound ("full jitter").
inline Duration retryDelay(unsigned failures, Random &random)
{
    constexpr unsigned maxDoublings = 6;
    const auto bound =
            std::min(longestRetryDelay, firstRetryDelay * (1 << std::min(failures, maxDoublings)));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(bound)
                                                * uniformReal(random));
}

} // namespace cyclamenlatch::store
