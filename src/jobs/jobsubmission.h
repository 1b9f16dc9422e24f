// A job as a caller hands it in.
#pragma once

#include "fleet/resources.h"
#include "global/ids.h"

#include <string>

namespace cyclamenlatch::jobs {

struct JobSubmission
{
    WorkspaceId workspace;
    QueueId queue;
    fleet::Resources resources;
    std::string body;
    // Empty: every submission makes a new job.
    std::string idempotencyKey;
    // Jobs of the workspace that may wait.
    unsigned mostWaiting = 10000;
};

// The id that the submission's record gets: derived from workspace and Idempotency-Key, or
// random without one.
JobId idOf(const JobSubmission &submission);
// Differs when the same Idempotency-Key comes with another queue, size or body.
std::string hashOf(const JobSubmission &submission);

} // namespace cyclamenlatch::jobs
