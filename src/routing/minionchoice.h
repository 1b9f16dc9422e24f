// Chooses a minion: the less loaded of two random candidates with a free slot.
#pragma once

#include "global/random.h"
#include "routing/minionload.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cyclamenlatch::routing {

// Returns the index of the chosen candidate, or nothing when none has a free slot.
std::optional<std::size_t> chooseMinion(std::span<const MinionLoad> candidates, Random &random);

} // namespace cyclamenlatch::routing
