// Chooses a minion: the less loaded of two random candidates with a free slot.
#pragma once

#include "global/random.h"
#include "routing/minionload.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cyclamenlatch::routing {

// Load of a candidate that may get nothing more.
inline constexpr double fullLoad = 1.0;

// loadOf(index) is the share of a candidate's slots in use; fullLoad or more rules it out. Looks
// at two candidates, and at all of them only when one of the two is full.
template<typename LoadOf>
std::optional<std::size_t> chooseLessLoaded(std::size_t count, LoadOf loadOf, Random &random)
{
    if (count == 0) {
        return std::nullopt;
    }
    const auto bound = static_cast<std::uint32_t>(count);
    const std::size_t first = uniformBelow(random, bound);
    const std::size_t second = uniformBelow(random, bound);
    const double firstLoad = loadOf(first);
    const double secondLoad = loadOf(second);
    if (firstLoad < fullLoad && secondLoad < fullLoad) {
        return secondLoad < firstLoad ? second : first;
    }
    // Reservoir sampling of two among the candidates that are not full.
    std::optional<std::size_t> one;
    std::optional<std::size_t> other;
    std::uint32_t free = 0;
    for (std::size_t index = 0; index < count; ++index) {
        if (loadOf(index) >= fullLoad) {
            continue;
        }
        ++free;
        if (uniformBelow(random, free) == 0) {
            one = index;
        }
        if (uniformBelow(random, free) == 0) {
            other = index;
        }
    }
    if (!one || !other) {
        return one;
    }
    return loadOf(*other) < loadOf(*one) ? other : one;
}

// Returns the index of the chosen candidate, or nothing when none has a free slot.
std::optional<std::size_t> chooseMinion(std::span<const MinionLoad> candidates, Random &random);

} // namespace cyclamenlatch::routing
