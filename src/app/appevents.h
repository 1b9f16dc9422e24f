// Events 1000 to 1099: the life of an entry process.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::app {

inline constexpr Event entryStarted{1000, Severity::Info, "entry-started",
                                    "The entry accepts connections."};
inline constexpr Event fleetTaken{1001, Severity::Info, "fleet-taken",
                                  "The entry uses a newer revision of the fleet document."};
inline constexpr Event fleetRefused{
        1002, Severity::Error, "fleet-refused",
        "The stored fleet document has mistakes; the entry keeps the one it has. Apply a "
        "corrected document."};
inline constexpr Event entryLeaving{1003, Severity::Info, "entry-leaving",
                                    "The entry was told to stop and finishes its requests."};
inline constexpr Event entryStopped{1004, Severity::Info, "entry-stopped",
                                    "The entry has stopped; says how many requests were cut."};

} // namespace cyclamenlatch::app
