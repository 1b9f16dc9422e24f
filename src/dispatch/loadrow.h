// What one workspace asks of one queue through one entry, as entries tell each other.
#pragma once

#include <cstdint>

namespace cyclamenlatch::dispatch {

// Names travel as hashes, since a row must be small.
using NameHash = std::uint32_t;

struct LoadRow
{
    NameHash queue = 0;
    NameHash workspace = 0;
    // Requests that run or wait.
    std::uint16_t demand = 0;
    // Slot time charged since the entry's start, in 10 ms; wraps.
    std::uint32_t used = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(queue, workspace, demand, used);
    }
};

} // namespace cyclamenlatch::dispatch
