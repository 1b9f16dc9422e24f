// Demand and use of one workspace on one queue through one entry, as reported to other entries.
#pragma once

#include <cstdint>

namespace cyclamenlatch::dispatch {

// Names are sent as hashes to keep rows small.
using NameHash = std::uint32_t;

struct LoadRow
{
    NameHash queue = 0;
    NameHash workspace = 0;
    // Number of running and queued requests.
    std::uint16_t demand = 0;
    // Slot time charged since the entry started, in units of 10 ms; wraps around.
    std::uint32_t used = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(queue, workspace, demand, used);
    }
};

} // namespace cyclamenlatch::dispatch
