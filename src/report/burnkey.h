// What burn is counted for: one workspace's work at one service.
#pragma once

#include "global/ids.h"

#include <compare>

namespace cyclamenlatch::report {

struct BurnKey
{
    ServiceId service;
    // Empty for callers of open queues without a key.
    WorkspaceId workspace;

    auto operator<=>(const BurnKey &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(service, workspace);
    }
};

} // namespace cyclamenlatch::report
