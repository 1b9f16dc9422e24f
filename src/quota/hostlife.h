// A host of the platform between two replacements.
#pragma once

#include <cstdint>
#include <string>

namespace cyclamenlatch::quota {

struct HostLife
{
    // The platform's name for it; empty when it is not known.
    std::string name;
    // How often the platform had replaced the host when this life began.
    std::uint64_t replacements = 0;

    bool isKnown() const { return !name.empty(); }
};

} // namespace cyclamenlatch::quota
