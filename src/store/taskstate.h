// Where a task stands on the platform.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::store {

enum class TaskState {
    Running,
    // Ended by itself, with success or without.
    Completed,
    Failed,
    // Ended on command after its progress was saved.
    Checkpointed,
    // Ended on command, or stopped before it ever started.
    Stopped,
    // Its lease ended; the worker may run it until TaskStatus::ended is set.
    Lapsed,
    // Never started: the worker is unknown to the platform or draining.
    Refused,
};

inline constexpr NamedValue<TaskState> taskStateEntries[] = {
        {TaskState::Running, "running"}, {TaskState::Completed, "completed"},
        {TaskState::Failed, "failed"},   {TaskState::Checkpointed, "checkpointed"},
        {TaskState::Stopped, "stopped"}, {TaskState::Lapsed, "lapsed"},
        {TaskState::Refused, "refused"},
};
inline constexpr NameTable taskStateNames{taskStateEntries};

} // namespace cyclamenlatch::store
