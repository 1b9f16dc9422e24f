// What an operator chooses for a wave.
#pragma once

#include <chrono>

namespace cyclamenlatch::maintenance {

struct WaveSettings
{
    // Hosts of one rack that may be out at once, by this wave and failure together; 0: no bound.
    unsigned perRack = 0;
    // Part of each budget that the wave leaves free for failures.
    unsigned reserve = 0;
    // A host that is not back and healthy by then is set aside.
    std::chrono::milliseconds rebootDeadline{900000};
    // Time for which a host that came back keeps its claim while load returns to it.
    std::chrono::milliseconds slowStart{10000};
    // This many failures outside the wave, or hosts set aside, within failureWindow pause it.
    unsigned failuresToPause = 3;
    std::chrono::milliseconds failureWindow{120000};
    // Weigh a short roll-out against disturbing many racks at once; see hostorder.h.
    double rollOutWeight = 1;
    double movesWeight = 1;

    bool operator==(const WaveSettings &) const = default;
};

} // namespace cyclamenlatch::maintenance
