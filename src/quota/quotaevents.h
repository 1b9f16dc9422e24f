// Events 1350 to 1399: sharing limits between entries.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::quota {

inline constexpr Event quotaRegistered{
        1350, Severity::Info, "quota-registered",
        "The entry is registered as a holder of units and takes part in trading."};
inline constexpr Event quotaRevoked{
        1351, Severity::Error, "quota-revoked",
        "The store says that this entry is gone, so it starts no keyed work. Restart the entry."};
inline constexpr Event quotaLeft{
        1352, Severity::Info, "quota-left",
        "The entry has returned its units; says how many were not, which stay locked until the "
        "entry restarts or is declared gone."};

} // namespace cyclamenlatch::quota
