// A wave as operators see it.
#pragma once

#include "maintenance/hostrecord.h"
#include "maintenance/waitrecord.h"
#include "maintenance/waveprogress.h"
#include "maintenance/waverecord.h"

#include <vector>

namespace cyclamenlatch::maintenance {

struct WaveStatus
{
    WaveRecord wave;
    WaveProgress progress;
    // Hosts that are neither pending nor done.
    std::vector<HostRecord> underWay;
    // Whom the leaders of the data centres wait for.
    std::vector<WaitRecord> waits;
};

} // namespace cyclamenlatch::maintenance
