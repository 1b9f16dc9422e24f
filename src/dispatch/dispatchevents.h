// Events 1100 to 1149: calls from entries to minions.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::dispatch {

inline constexpr Event silentConnection{
        1100, Severity::Warning, "silent-connection",
        "A connection to a minion made no progress while a new one works; the call on it was "
        "aborted with an unknown outcome. Look for a firewall or NAT that forgets connections."};
inline constexpr Event minionSilent{
        1101, Severity::Warning, "minion-silent",
        "A minion with a silent connection did not answer on a new one either. Check the host."};

} // namespace cyclamenlatch::dispatch
