// Clock for leases that this entry holds or grants: it goes on counting while the machine is
// suspended. Its values compare only with each other, not with other clocks.
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
