// Slot time that another entry has charged to a workspace.
#pragma once

#include "global/ids.h"

namespace cyclamenlatch::dispatch {

struct RemoteUse
{
    QueueId queue;
    WorkspaceId workspace;
    // Negative when an estimate was too high.
    double seconds = 0;
};

} // namespace cyclamenlatch::dispatch
