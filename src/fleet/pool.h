// A pool of workers.
#pragma once

#include "global/ids.h"

namespace cyclamenlatch::fleet {

struct Pool
{
    PoolId id;
    // Workers of the spare pool may be lent to other pools.
    bool spare = false;

    bool operator==(const Pool &) const = default;
};

} // namespace cyclamenlatch::fleet
