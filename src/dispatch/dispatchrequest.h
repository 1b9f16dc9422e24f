// An admitted request that is to run on a minion.
#pragma once

#include "global/ids.h"
#include "global/time.h"

#include <string>

namespace cyclamenlatch::dispatch {

struct DispatchRequest
{
    std::string requestId;
    QueueId queue;
    WorkspaceId workspace;
    std::string contentType;
    std::string body;
    TimePoint deadline;
};

} // namespace cyclamenlatch::dispatch
