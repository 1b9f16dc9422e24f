// A request as the scheduler sees it, without its body and its caller.
#pragma once

#include "dispatch/fairqueue.h"
#include "dispatch/workfaults.h"
#include "global/ids.h"
#include "global/time.h"

namespace cyclamenlatch::dispatch {

struct SchedulerWork
{
    Ticket ticket = 0;
    QueueId queue;
    WorkspaceId workspace;
    WorkSignature signature = 0;
    TimePoint deadline;
};

} // namespace cyclamenlatch::dispatch
