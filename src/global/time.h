// Time types. Decision code takes the time as an argument and never reads a clock.
#pragma once

#include <chrono>

namespace cyclamenlatch {

using Duration = std::chrono::nanoseconds;
// Monotonic time within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Time of day, for people and for records that outlive a process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

inline TimePoint steadyNow()
{
    return std::chrono::steady_clock::now();
}

inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace cyclamenlatch
