// A seeded random walk over the verbs of the scenario language, with every invariant checked.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenlatch::scenarios {

inline constexpr unsigned walkSteps = 40;

// Returns what went wrong with the steps that led there, or nothing.
std::optional<std::string> walkAtRandom(std::uint64_t seed, unsigned steps);

} // namespace cyclamenlatch::scenarios
