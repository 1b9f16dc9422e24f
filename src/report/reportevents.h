// Events 1700 to 1799: the burn report.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::report {

inline constexpr Event digestUnreadable{
        1700, Severity::Warning, "report-digest-unreadable",
        "A peer's message about outcomes can't be read and is passed over; the next one covers "
        "it. Entries of different versions may cause it during a roll-out."};

} // namespace cyclamenlatch::report
