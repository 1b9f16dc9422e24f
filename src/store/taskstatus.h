// What the platform says about one task.
#pragma once

#include "global/ids.h"
#include "store/taskstate.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::store {

// Counts the changes of all tasks.
using TaskRevision = std::uint64_t;

struct TaskStatus
{
    std::string id;
    WorkerId worker;
    TaskState state = TaskState::Running;
    bool throttled = false;
    // True once a lapsed task can no longer run: the platform's bound has passed since.
    bool ended = false;
    std::string checkpoint;
    std::string failure;
    // From the worker's last usage report, which lags; 0 before the first one.
    double usedProcessors = 0;
    double usedMemoryMib = 0;
    TaskRevision revision = 0;

    bool operator==(const TaskStatus &) const = default;
};

struct TaskListing
{
    // Revision of the listing; ask for the changes after it.
    TaskRevision revision = 0;
    std::vector<TaskStatus> tasks;
    // Workers that take no new task and whose tasks should leave.
    std::vector<WorkerId> draining;
};

} // namespace cyclamenlatch::store
