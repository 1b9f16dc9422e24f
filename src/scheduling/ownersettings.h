// What the deployment prescribes for scheduling, and what was chosen for it.
#pragma once

#include <chrono>
#include <cstdint>

namespace cyclamenlatch::scheduling {

struct OwnerSettings
{
    // Counts ownerships over the life of the system: the fencing token of every order.
    std::uint64_t term = 1;
    // For how long a target runs on without word from its owner. Long enough for a change of
    // owners and a short outage of the store, short enough that work is not lost for long.
    std::chrono::milliseconds runLease{4500};
    // The longest lease that any owner gives; a version that gives shorter ones keeps this value
    // until no owner of an older version can have been the last.
    std::chrono::milliseconds maxRunLease{4500};
    // A stop takes at most this long.
    std::chrono::milliseconds stopTimeout{200};
    // Tasks take this many times as long away from their data's rack.
    double remoteSlowdownFactor = 1.5;
};

} // namespace cyclamenlatch::scheduling
