// A move of one worker, with why it is worth its cost.
#pragma once

#include "global/ids.h"

#include <string>

namespace cyclamenlatch::capacity {

struct MoveDecision
{
    WorkerId worker;
    PoolId from;
    PoolId to;
    // Seconds of wait over all requests.
    double waitSaved = 0;
    // Seconds, weighted.
    double cost = 0;

    // "moved w-17 from spare to swaps: expected wait saved 40 s against 12 s of move".
    std::string toString() const;
};

} // namespace cyclamenlatch::capacity
