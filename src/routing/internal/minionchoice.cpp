// Power of two choices among the minions with a free slot.
#include "routing/minionchoice.h"

namespace cyclamenlatch::routing {

std::optional<std::size_t> chooseMinion(std::span<const MinionLoad> candidates, Random &random)
{
    const auto loadOf = [candidates](std::size_t index) {
        const auto &load = candidates[index];
        return load.slots == 0 ? fullLoad : double(load.outstanding) / load.slots;
    };
    return chooseLessLoaded(candidates.size(), loadOf, random);
}

} // namespace cyclamenlatch::routing
