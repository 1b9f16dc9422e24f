// A step with tasks that wait for a start, and the keys by which such steps are ordered.
#pragma once

#include "scheduling/internal/ownerstate.h"
#include "scheduling/ownercore.h"

#include <cstdint>
#include <tuple>

namespace cyclamenlatch::scheduling {

// How much a step's result is still worth to its caller.
enum class Usefulness : std::uint8_t {
    // It can end within its objective, and its workspace is within its rate.
    InTime,
    // It ends late, or is beyond its workspace's rate.
    Behind,
    // It ends so late that it is of no use, but was accepted.
    Overdue,
};

struct OwnerCore::OpenStep
{
    JobState *job = nullptr;
    OccurrenceState *occurrence = nullptr;
    StepState *step = nullptr;
    std::uint32_t stepIndex = 0;
    // 0: long-running; 1: long-running on spare processors; 2: all others. Lower bands go first.
    int band = 0;
    int priority = 0;
    Usefulness usefulness = Usefulness::InTime;
    // Tasks of the occurrence run or have ended. When not all jobs can meet their objectives, those
    // that have begun go first: work spent on a job is wasted unless it ends in time.
    bool hasBegun = false;
    // Null unless the queue needs advice.
    const AdviceRule *advice = nullptr;
    // How far the workspace is ahead of others that wait in the pool, in rounds; see FairShares.
    std::int64_t fairRound = 0;
    // Latest start that meets the objective; of a long-running step, the arrival of its job.
    TimePoint due{};

    // Waiting steps in their order. Between workspaces that wait for the same pool the round comes
    // before the due time, so that one that sends more than its share waits for the others.
    auto key() const
    {
        return std::tuple(band, usefulness, priority, !hasBegun, fairRound, due, job->submission.id,
                          occurrence->number, stepIndex);
    }
    // The part of the key within which workspaces compete.
    auto classKey() const { return std::tuple(band, usefulness, priority, !hasBegun); }
};

} // namespace cyclamenlatch::scheduling
