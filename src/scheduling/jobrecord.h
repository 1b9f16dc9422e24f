// What is stored of a job: the submission, written once, and its progress, written by the owner.
#pragma once

#include "scheduling/jobphase.h"
#include "scheduling/jobspec.h"
#include "scheduling/taskref.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling {

struct JobSubmission
{
    JobNumber id = 0;
    // Names of the configuration at the time of the submission.
    std::string queue;
    std::string service;
    // Empty for a queue that asks for no key.
    std::string workspace;
    // When the entry took it.
    WallTime submitted{};
    JobSpec spec;
};

// What has ended of one step.
struct StepProgress
{
    // Numbers of the tasks that ended as done.
    std::vector<std::uint32_t> done;
    // Attempts that ended as failed, by task: numbers, not a count, since a target lists an end
    // again until it knows that it was recorded. A gang's failures are those of its task 0.
    std::map<std::uint32_t, std::vector<std::uint32_t>> failedAttempts;
    // The newest checkpoint of tasks that are not done.
    std::map<std::uint32_t, std::string> checkpoints;
};

struct JobProgress
{
    JobPhase phase = JobPhase::Queued;
    // Ids of all targets that may run a task of the job; stored before the first start there.
    std::vector<std::string> targets;
    // By occurrence and step; what is not there has no progress.
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepProgress> steps;
};

} // namespace cyclamenlatch::scheduling
