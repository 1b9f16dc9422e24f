// Load of this entry, by queue and workspace.
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
    // Number of running and queued requests.
    unsigned demand = 0;
    // Slot time charged since this entry started.
    double usedSeconds = 0;
    // Time at which a request was last submitted or a call last ended.
    TimePoint changedAt{};
};

using EntryLoad = std::map<LoadKey, LoadValue>;

} // namespace cyclamenlatch::dispatch
