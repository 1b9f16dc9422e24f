// What the platform can be told to do with tasks.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::store {

enum class TaskCommand {
    Renew,
    // Saves the task's progress and ends it.
    Checkpoint,
    // Lets the task use a tenth of its processors until it is resumed.
    Throttle,
    Resume,
    // Ends the task; one that has not started never will.
    Stop,
    // Lets the platform drop an ended task from its listing; its id stays used.
    Forget,
};

inline constexpr NamedValue<TaskCommand> taskCommandEntries[] = {
        {TaskCommand::Renew, "renew"},       {TaskCommand::Checkpoint, "checkpoint"},
        {TaskCommand::Throttle, "throttle"}, {TaskCommand::Resume, "resume"},
        {TaskCommand::Stop, "stop"},         {TaskCommand::Forget, "forget"},
};
inline constexpr NameTable taskCommandNames{taskCommandEntries};

} // namespace cyclamenlatch::store
