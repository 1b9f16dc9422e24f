// The load of this entry by queue and workspace.
#pragma once

#include "global/ids.h"

#include <compare>
#include <map>

namespace cyclamenlatch::dispatch {

struct LoadKey
{
    QueueId queue;
    WorkspaceId workspace;

    auto operator<=>(const LoadKey &) const = default;
};

struct LoadValue
{
    // Requests that run or wait.
    unsigned demand = 0;
};

using EntryLoad = std::map<LoadKey, LoadValue>;

} // namespace cyclamenlatch::dispatch
