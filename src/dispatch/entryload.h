// The load of this entry by queue and workspace.
#pragma once

#include "global/ids.h"
#include "global/time.h"

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
    // Slot time charged since this entry's start.
    double usedSeconds = 0;
    // When the demand last came or went.
    TimePoint changedAt{};
};

using EntryLoad = std::map<LoadKey, LoadValue>;

} // namespace cyclamenlatch::dispatch
