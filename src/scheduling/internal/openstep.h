// A step with tasks that wait for a start, and the keys by which such steps are ordered.
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
    // 0: long-running; 1: long-running on spare processors; 2: all others. Lower bands go first.
    int band = 0;
    int priority = 0;
    // The job exceeds its workspace's rate, or can no longer meet its objective.
    bool isBehind = false;
    // Tasks of the occurrence run or have ended. When not all jobs can meet their objectives, those
    // that have begun go first: work spent on a job is wasted unless it ends in time.
    bool hasBegun = false;
    // Null unless the queue needs advice.
    const AdviceRule *advice = nullptr;
    // Latest start that meets the objective; of a long-running step, the arrival of its job.
    TimePoint due{};
};

} // namespace cyclamenlatch::scheduling
