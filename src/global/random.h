// The random generator that decision code takes as an argument, so that a seed repeats a run.
#pragma once

#include <pcg_random.hpp>

#include <cstdint>
#include <random>

namespace cyclamenlatch {

using Random = pcg32;

// Returns a uniform integer in [0, bound); bound must be positive.
inline std::uint32_t uniformBelow(Random &random, std::uint32_t bound)
{
    return random(bound);
}

// Returns a uniform real in [0, 1).
inline double uniformReal(Random &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace cyclamenlatch
