// A service: what a pool of workers offers, with the availability it promises.
#pragma once

#include "global/ids.h"

namespace cyclamenlatch::fleet {

struct Service
{
    ServiceId id;
    PoolId pool;
    // Workers that may be out at once, by maintenance and failure together.
    unsigned maxUnavailable = 1;
    // Share of requests that must end completed, in (0, 1); for the burn report.
    double objective = 0.999;

    bool operator==(const Service &) const = default;
};

} // namespace cyclamenlatch::fleet
