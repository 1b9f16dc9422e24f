// The order in which a wave takes hosts.
#pragma once

#include "fleet/fleetdocument.h"
#include "fleet/selector.h"
#include "maintenance/wavesettings.h"

#include <vector>

namespace cyclamenlatch::maintenance {

// The workers that the selector matches by label, pool, rack or dataCentre. Workers of budgets with
// the longest remaining chain (members to take divided by places) come first, which shortens the
// roll-out; the weight of moves draws workers of a rack that is already open forward, which
// disturbs fewer racks at a time.
std::vector<WorkerId> orderHosts(const fleet::FleetDocument &fleet, const fleet::Selector &selector,
                                 const WaveSettings &settings);

} // namespace cyclamenlatch::maintenance
