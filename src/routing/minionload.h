// What an entry knows of one minion's load.
#pragma once

#include "global/ids.h"

namespace cyclamenlatch::routing {

struct MinionLoad
{
    WorkerId worker;
    // Requests that this entry may have in flight there.
    unsigned slots = 0;
    // Requests that this entry has in flight there.
    unsigned outstanding = 0;
};

} // namespace cyclamenlatch::routing
