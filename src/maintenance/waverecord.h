// A wave as operators started it; stored at maintenance/waves/<wave>.
#pragma once

#include "global/ids.h"
#include "maintenance/hostrecord.h"
#include "maintenance/wavesettings.h"
#include "maintenance/wavestate.h"

#include <string>
#include <vector>

namespace cyclamenlatch::maintenance {

struct WaveRecord
{
    WaveId wave;
    std::string selector;
    WaveState state = WaveState::Running;
    // Why the wave is paused; empty unless it is.
    std::string reason;
    RecordTime started = 0;
    // Failures before this time no longer pause the wave; set by start and resume.
    RecordTime resumed = 0;
    RecordTime finished = 0;
    WaveSettings settings;
    // Fixed at the start, in the order in which hosts are taken. Invariant: no worker twice.
    std::vector<WorkerId> hosts;

    bool operator==(const WaveRecord &) const = default;
};

} // namespace cyclamenlatch::maintenance
