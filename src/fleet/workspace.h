// A workspace: a team that hands in work under its keys.
#pragma once

#include "global/ids.h"

namespace cyclamenlatch::fleet {

struct Workspace
{
    WorkspaceId id;
    // Share when everything is full, relative to the other workspaces.
    double weight = 1;
    // Requests and jobs that may run at once over the whole fleet.
    unsigned limit = 1;
    // Jobs that may wait; further ones are refused.
    unsigned waitingJobs = 10000;
    // Whether a data centre that is cut off goes on taking this workspace's keys, although a
    // withdrawal may not have reached it.
    bool serveWhenIsolated = false;

    bool operator==(const Workspace &) const = default;
};

} // namespace cyclamenlatch::fleet
