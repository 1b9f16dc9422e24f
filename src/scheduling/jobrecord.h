// Stored state of a job: its submission, written once, and its progress, written by the owner.
#pragma once

#include "scheduling/fleetrules.h"
#include "scheduling/jobphase.h"
#include "scheduling/jobspec.h"
#include "scheduling/taskref.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling {

struct JobSubmission
{
    JobNumber id = 0;
    // Queue and service names in the configuration at the time of the submission.
    std::string queue;
    std::string service;
    // Empty for a public queue, which asks for no key.
    std::string workspace;
    // When the entry accepted the job.
    WallTime submitted{};
    JobSpec spec;
    // They hold while the configuration does not name the queue or the workspace. Empty in records
    // of entries that did not store them.
    std::optional<JobLimits> limits;
};

// Progress of one step of an occurrence.
struct StepProgress
{
    // Indices of the tasks that are done.
    std::vector<std::uint32_t> done;
    // Numbers of the failed attempts, by task. A count would not do: a target lists an end again
    // until it knows that the end is recorded. The failures of a gang are stored under its task 0.
    std::map<std::uint32_t, std::vector<std::uint32_t>> failedAttempts;
    // Latest checkpoint of each task that is not done.
    std::map<std::uint32_t, std::string> checkpoints;
};

struct JobProgress
{
    JobPhase phase = JobPhase::Queued;
    // Ids of all targets that may run a task of the job. An id is stored before the first start on
    // that target is sent.
    std::vector<std::string> targets;
    // By occurrence and step; a step without progress has no entry.
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepProgress> steps;
    // Of jobs with many occurrences: ranges, from the first to the last, of occurrences that are
    // done. They have no steps above, so that the record does not grow with each. Empty in records
    // of few occurrences, which entries that don't know the field read whole.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> doneOccurrences;
};

} // namespace cyclamenlatch::scheduling
