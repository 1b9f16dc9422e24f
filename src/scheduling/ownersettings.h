// Settings of the scheduling core.
#pragma once

#include "scheduling/schedulingfeature.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cyclamenlatch::scheduling {

struct OwnerSettings
{
    // Number of this ownership; rises with every change of owner.
    std::uint64_t term = 1;
    // Fencing tokens of this ownership: the lowest one, and their number. Those of earlier
    // ownerships are lower, those of later ones higher.
    std::uint64_t firstToken = 1;
    std::uint32_t tokenCount = 64;
    // Lease on a target's runs: how long they go on without a call from the owner. Long enough for
    // a change of owners and a short outage of the store, short enough that the work of a lost
    // target is soon started again.
    std::chrono::milliseconds runLease{4500};
    // The longest lease that any owner grants. A version that grants shorter leases has to keep
    // this value as long as the previous owner may have been of an older version.
    std::chrono::milliseconds maxRunLease{4500};
    // The longest lease that a target grants, whatever it is asked for. It may have granted this
    // one on a call that was meant for its earlier incarnation, whose clock was another.
    std::chrono::milliseconds longestLease{10000};
    // Upper bound of the time that a target takes to stop a task.
    std::chrono::milliseconds stopTimeout{200};
    // A task takes this many times as long on another rack than that of its data.
    double remoteSlowdownFactor = 1.5;
    // Kinds of work whose run times are remembered; see RunTimeHistory. One takes 1 KiB at most.
    std::size_t maxRunTimeKinds = 2000;
    SchedulingFeatures disabled;
};

} // namespace cyclamenlatch::scheduling
