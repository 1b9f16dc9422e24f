// What the callers' interface tells the report about each reply. A small interface, so that the
// report depends on nothing that answers requests.
#pragma once

#include "global/time.h"
#include "report/burnkey.h"

#include <functional>

namespace cyclamenlatch::report {

struct ObservedOutcome
{
    BurnKey key;
    // Ended as the objective asks.
    bool good = false;
    Duration latency{};
};

// Called from any thread; must not block.
using OutcomeObserver = std::function<void(const ObservedOutcome &)>;

} // namespace cyclamenlatch::report
