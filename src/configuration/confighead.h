// The head of a configuration revision: the hashes of its parts. The parts are written to the
// store first and never change, so that one compare-and-swap of the head puts a whole revision
// in force.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::configuration {

// Store keys. Everything that spreads lies under the prefix.
inline constexpr const char *configPrefix = "config/";
inline constexpr const char *headKey = "config/fleet";
inline constexpr const char *partPrefix = "config/parts/";
inline constexpr const char *withdrawnPrefix = "config/withdrawn/";

struct ConfigHead
{
    // In the order in which they are joined.
    std::vector<std::string> parts;

    std::string toText() const;
    // Returns nothing for a text that is no head: a whole fleet document under the head's key.
    static std::optional<ConfigHead> fromText(std::string_view text);
};

} // namespace cyclamenlatch::configuration
