// The life of a job, as its record says it.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::jobs {

enum class JobState {
    // Recorded; waits for a worker, its limit or its next try.
    Submitted,
    // An attempt is assigned to a worker and is being started there.
    Placing,
    Running,
    // Its progress is being saved; it goes on elsewhere.
    Checkpointing,
    // Runs at a tenth of its processors, to make room.
    Throttled,
    // Is being ended: to be cancelled, or to go on elsewhere from its last checkpoint.
    Stopping,
    // The states below are final.
    Completed,
    // Failed as often as is allowed.
    Failed,
    Cancelled,
    // Can never run; the record's reason says why.
    DeadLettered,
};

inline constexpr NamedValue<JobState> jobStateEntries[] = {
        {JobState::Submitted, "submitted"}, {JobState::Placing, "placing"},
        {JobState::Running, "running"},     {JobState::Checkpointing, "checkpointing"},
        {JobState::Throttled, "throttled"}, {JobState::Stopping, "stopping"},
        {JobState::Completed, "completed"}, {JobState::Failed, "failed"},
        {JobState::Cancelled, "cancelled"}, {JobState::DeadLettered, "dead-lettered"},
};
inline constexpr NameTable jobStateNames{jobStateEntries};

// Whether an attempt may run in this state; it holds a unit of its workspace's limit then.
constexpr bool isActive(JobState state)
{
    return state == JobState::Placing || state == JobState::Running
           || state == JobState::Checkpointing || state == JobState::Throttled
           || state == JobState::Stopping;
}

constexpr bool isFinal(JobState state)
{
    return state != JobState::Submitted && !isActive(state);
}

} // namespace cyclamenlatch::jobs
