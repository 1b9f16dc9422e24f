// Slot time that a workspace used through another entry.
#pragma once

#include "global/ids.h"

namespace cyclamenlatch::dispatch {

struct RemoteUse
{
    QueueId queue;
    WorkspaceId workspace;
    // Negative when it corrects an estimate that was too high.
    double seconds = 0;
};

} // namespace cyclamenlatch::dispatch
