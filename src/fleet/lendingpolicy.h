// How the workers of a spare pool are lent to other pools by themselves.
#pragma once

namespace cyclamenlatch::fleet {

struct LendingPolicy
{
    // Without it only operators and the document move workers.
    bool automatic = true;
    // Seconds of saved wait that a second of moving a worker, and a second of a missing spare
    // worker, are worth to the users.
    double movesWeight = 1;
    double bufferWeight = 1;
    // The saved wait must exceed the cost by this factor.
    double hysteresis = 1.5;
    // Seconds from the decision until a moved worker serves.
    double moveSeconds = 12;

    bool operator==(const LendingPolicy &) const = default;
};

} // namespace cyclamenlatch::fleet
