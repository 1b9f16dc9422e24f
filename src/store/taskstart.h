// A task to start under a lease. Starting the same id again changes nothing: an id is used for
// one run at most, also when it was stopped before it started.
#pragma once

#include "global/ids.h"

#include <chrono>
#include <string>

namespace cyclamenlatch::store {

struct TaskStart
{
    std::string id;
    WorkerId worker;
    std::chrono::milliseconds lease{0};
    double processors = 0;
    double memoryMib = 0;
    unsigned accelerators = 0;
    // What an earlier task's checkpoint saved; empty for a fresh run.
    std::string checkpoint;
    std::string body;
};

} // namespace cyclamenlatch::store
