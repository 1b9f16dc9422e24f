// The wave machine: from the records and what is observed to the next steps. It is
// level-triggered: it keeps nothing between passes, so any entry may go on from the records
// alone, and a lost answer is resolved by the next reading.
#pragma once

#include "maintenance/waveaction.h"
#include "maintenance/waveview.h"

#include <vector>

namespace cyclamenlatch::maintenance {

std::vector<WaveAction> planWave(const WaveView &view, RecordTime now);

} // namespace cyclamenlatch::maintenance
