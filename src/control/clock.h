// The clock of everything that must count the time that a suspended machine sleeps: leases held and
// leases given. Values compare only with each other.
#pragma once

#include "global/time.h"

#include <ctime>

namespace cyclamenlatch::control {

inline TimePoint bootNow()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace cyclamenlatch::control
