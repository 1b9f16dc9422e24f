// A job as the caller submits it: steps, each of several identical tasks.
#pragma once

#include "global/time.h"
#include "scheduling/resources.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::scheduling {

struct StepSpec
{
    std::uint32_t count = 0;
    // Resources of each task.
    Resources requiredResources;
    // The caller's rough estimate of a task's run time.
    std::chrono::milliseconds estimate{};
    // Indices of earlier steps whose tasks must all be done before this step starts.
    std::vector<std::uint32_t> after;
    bool savesCheckpoints = false;
    // The tasks work only while all of them run, and end together.
    bool isGang = false;
    // The tasks take longer when they run on more than one rack.
    bool prefersSingleRack = false;
    // Copies of a task may run side by side.
    bool allowsCopies = false;
    // The tasks run until the job is cancelled.
    bool isLongRunning = false;
    // The tasks run on processor time that other tasks on the target leave unused; they are
    // allocated no processors.
    bool usesSpareProcessors = false;
    // Label that a target must have; empty: any target will do.
    std::string requiredLabel;
    // Rack that holds the data; empty: no preference. A task on another rack takes longer.
    std::string dataRack;
    // Image that the tasks run; tasks of one image behave alike. Empty: not given.
    std::string image;
    // Most tasks of the step, within one occurrence, that one target may run; 0: no limit.
    std::uint32_t maxTasksPerTarget = 0;
    // Upper bound of the tail latency of a task that serves requests; 0: it serves none.
    std::chrono::milliseconds tailLatencyBound{};
    // Disruption budget of a long-running step: most of its tasks that the scheduler may make
    // unavailable at a time.
    std::uint32_t maxUnavailable = 0;

    // Resources that a task takes of its target: no processors if it uses spare ones.
    Resources allocatedResources() const
    {
        auto resources = requiredResources;
        if (usesSpareProcessors) {
            resources.processors = 0;
        }
        return resources;
    }
    bool isLatencySensitive() const { return tailLatencyBound.count() > 0; }
};

struct JobSpec
{
    // Opaque to the system; passed to targets unchanged.
    std::string text;
    std::vector<StepSpec> steps;
    // Number of timed occurrences; 0: the job runs once and is due on submission.
    std::uint32_t repeatCount = 0;
    WallTime firstDue{};
    std::chrono::milliseconds interval{};

    std::uint32_t occurrenceCount() const { return repeatCount == 0 ? 1 : repeatCount; }
    bool isTimed() const { return repeatCount > 0; }
    bool isLongRunning() const
    {
        for (const auto &step : steps) {
            if (step.isLongRunning) {
                return true;
            }
        }
        return false;
    }
};

} // namespace cyclamenlatch::scheduling
