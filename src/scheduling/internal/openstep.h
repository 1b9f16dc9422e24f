// A step with tasks that wait for a start, and what its place in the order of work depends on.
#pragma once

#include "scheduling/internal/ownerstate.h"
#include "scheduling/ownercore.h"

namespace cyclamenlatch::scheduling {

struct OwnerCore::OpenStep
{
    JobState *job = nullptr;
    OccurrenceState *occurrence = nullptr;
    StepState *step = nullptr;
    std::uint32_t stepIndex = 0;
    // Lasting tasks come first, those that fill after those that don't.
    int band = 0;
    int priority = 0;
    // More than is owed, or too late to count in full.
    bool isBehind = false;
    // Tasks of the job run or have ended. When not all jobs can make it, those that have begun do:
    // what was spent on them counts for nothing unless they end in time.
    bool hasBegun = false;
    // Null unless the queue has advice.
    const AdviceRule *advice = nullptr;
    TimePoint due{};
};

} // namespace cyclamenlatch::scheduling
