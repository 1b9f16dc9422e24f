// Events 1000 to 1099: the life of an entry process.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::app {

inline constexpr Event entryStarted{1000, Severity::Info, "entry-started",
                                    "The entry accepts connections."};
inline constexpr Event entryLeaving{1003, Severity::Info, "entry-leaving",
                                    "The entry was told to stop and finishes its requests."};
inline constexpr Event entryStopped{1004, Severity::Info, "entry-stopped",
                                    "The entry has stopped; says how many requests were cut."};
inline constexpr Event operatorsWord{
        1005, Severity::Warning, "operators-word",
        "An operator vouches that entries are gone; their units are freed after the longest work."};

} // namespace cyclamenlatch::app
