// How far a wave is and when it is likely to finish.
#pragma once

#include "maintenance/waveview.h"

#include <cstddef>

namespace cyclamenlatch::maintenance {

struct WaveProgress
{
    std::size_t hosts = 0;
    std::size_t pending = 0;
    // Claiming, leaving, rebooting, in slow start or being released.
    std::size_t underWay = 0;
    std::size_t done = 0;
    std::size_t setAside = 0;
    // Time from a host's claim to its release: the mean of the hosts done, or a first guess.
    std::chrono::milliseconds perHost{0};
    // Until the last host is done, if nothing else fails; 0 when the wave is over.
    std::chrono::milliseconds remaining{0};
};

// The estimate is the longest over the budgets of (hosts left / places, rounded up) x perHost.
WaveProgress progressOf(const WaveView &view);

} // namespace cyclamenlatch::maintenance
