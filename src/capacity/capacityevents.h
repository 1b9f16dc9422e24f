// Events 1500 to 1599: pools and the moves of workers between them.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::capacity {

inline constexpr Event poolLeadershipTaken{1500, Severity::Info, "pool-leadership-taken",
                                           "This entry leads the moves between pools."};
inline constexpr Event poolLeadershipLost{
        1501, Severity::Info, "pool-leadership-lost",
        "The lease lapsed or the store is out of reach; another entry goes on."};
inline constexpr Event assignmentStepped{1502, Severity::Info, "assignment-step",
                                         "A worker's move has reached its next step."};
inline constexpr Event workerMoved{1503, Severity::Info, "worker-moved",
                                   "A worker has left one pool and joined another."};
inline constexpr Event moveDecided{
        1504, Severity::Info, "move-decided",
        "A worker is to be moved; says by whom, or what wait it saves against what cost."};
inline constexpr Event assignmentMalformed{
        1505, Severity::Error, "assignment-malformed",
        "A worker's record can't be read and is left alone. Remove or correct it."};

} // namespace cyclamenlatch::capacity
