// Arithmetic and constants shared by the scheduler's source files.
#pragma once

#include "global/time.h"

#include <chrono>

namespace cyclamenlatch::dispatch::detail {

inline constexpr std::chrono::seconds shortRetryAfter{1};

inline double movingAverage(double average, double value)
{
    constexpr double averageWeight = 0.1;
    return average == 0 ? value : average + averageWeight * (value - average);
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace cyclamenlatch::dispatch::detail
