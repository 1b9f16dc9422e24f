// What a cancellation of many jobs did.
#pragma once

#include "global/ids.h"

namespace cyclamenlatch::jobs {

struct BulkCancelFilter
{
    WorkspaceId workspace;
    // Empty: all queues.
    QueueId queue;
};

struct BulkCancelCount
{
    // Jobs for which the wish is recorded; those that run are stopped next.
    unsigned cancelled = 0;
    // Jobs that could not be reached in the store; repeat the command for them.
    unsigned failed = 0;
};

} // namespace cyclamenlatch::jobs
