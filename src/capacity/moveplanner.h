// Decides automatic moves from and to the spare pool.
#pragma once

#include "capacity/movedecision.h"
#include "capacity/moveweights.h"
#include "capacity/pooldemand.h"

#include <vector>

namespace cyclamenlatch::capacity {

struct MoveSettings
{
    MoveWeights weights;
    // Seconds from the decision until a moved worker serves.
    double moveTime = 12;
    // The saved wait must exceed the cost by this factor.
    double hysteresis = 1.5;
    // A lent worker stays at least this many move times.
    double dwellFactor = 2;
    // Use, with one lent worker fewer, below which the worker goes back.
    double returnBelow = 0.6;
};

// Wait that one more worker saves, in seconds over all requests: while the overload lasts, the
// worker serves from the end of its move on, so the queue is shorter by its rate times the time
// since; the sum over the rest of the overload is rate x (rest - move)^2 / 2. It can't serve more
// than what waits.
double expectedWaitSaved(const PoolDemand &pool, double moveTime);

// spare: the spare pool, whose demand of its own is served first; pools: the others.
std::vector<MoveDecision> planMoves(const PoolDemand &spare, const std::vector<PoolDemand> &pools,
                                    const MoveSettings &settings);

} // namespace cyclamenlatch::capacity
