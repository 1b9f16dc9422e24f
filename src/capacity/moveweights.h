// How the users weigh the costs of moving workers.
#pragma once

namespace cyclamenlatch::capacity {

struct MoveWeights
{
    // Seconds of saved wait that a second of moving a worker is worth.
    double moves = 1;
    // Seconds of saved wait that a second of a missing spare worker is worth, when none is left.
    double buffer = 1;
};

} // namespace cyclamenlatch::capacity
