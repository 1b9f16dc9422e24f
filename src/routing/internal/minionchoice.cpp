// Power of two choices among the minions with a free slot.
#include "routing/minionchoice.h"

#include <vector>

namespace cyclamenlatch::routing {

std::optional<std::size_t> chooseMinion(std::span<const MinionLoad> candidates, Random &random)
{
    std::vector<std::size_t> free;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates[index].outstanding < candidates[index].slots) {
            free.push_back(index);
        }
    }
    if (free.empty()) {
        return std::nullopt;
    }
    const auto count = static_cast<std::uint32_t>(free.size());
    const std::size_t first = free[uniformBelow(random, count)];
    const std::size_t second = free[uniformBelow(random, count)];
    return candidates[second].outstanding < candidates[first].outstanding ? second : first;
}

} // namespace cyclamenlatch::routing
