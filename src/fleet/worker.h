// A worker: one machine, with the minion that serves on it.
#pragma once

#include "fleet/labels.h"
#include "fleet/resources.h"
#include "global/ids.h"

#include <string>

namespace cyclamenlatch::fleet {

struct Worker
{
    WorkerId id;
    DataCentreId dataCentre;
    RackId rack;
    // The one pool the worker belongs to.
    PoolId pool;
    // Where its minion listens, as "address:port".
    std::string minionAddress;
    // Requests the minion runs at once.
    unsigned slots = 8;
    Resources resources;
    Labels labels;

    bool operator==(const Worker &) const = default;
};

} // namespace cyclamenlatch::fleet
