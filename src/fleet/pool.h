// A pool of workers.
#pragma once

#include "fleet/lendingpolicy.h"
#include "global/ids.h"

namespace cyclamenlatch::fleet {

struct Pool
{
    PoolId id;
    // Workers of the spare pool may be lent to other pools.
    bool spare = false;
    // Of a spare pool only.
    LendingPolicy lending;
    // How much a second of its users' wait counts against other pools' when workers are lent.
    double weight = 1;

    bool operator==(const Pool &) const = default;
};

} // namespace cyclamenlatch::fleet
