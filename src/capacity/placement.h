// Places work on workers by processors, memory and accelerators together.
#pragma once

#include "fleet/resources.h"
#include "global/ids.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cyclamenlatch::capacity {

struct WorkerRoom
{
    WorkerId worker;
    fleet::Resources total;
    fleet::Resources free;
};

// Whether the work fits into what is free.
bool fits(const fleet::Resources &work, const fleet::Resources &free);

// The index of the worker that the work fits best: the one whose largest remaining share, over
// the kinds of resource, is smallest, so that large holes stay whole. Work that needs no
// accelerator avoids workers that have some. Nothing when it fits nowhere.
std::optional<std::size_t> bestFit(const fleet::Resources &work,
                                   const std::vector<WorkerRoom> &workers);

} // namespace cyclamenlatch::capacity
