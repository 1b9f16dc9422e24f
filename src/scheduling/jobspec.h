// What a caller asks for: a job of steps, each of several alike tasks.
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
    // Of each task.
    Resources requiredResources;
    // The caller's rough guess of a task's run time.
    std::chrono::milliseconds estimate{};
    // Numbers of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    bool savesCheckpoints = false;
    // The tasks work only while all of them are present, and end together.
    bool isGang = false;
    // The tasks take longer when they run on more than one rack.
    bool prefersSingleRack = false;
    // Copies of a task may run side by side.
    bool allowsCopies = false;
    // The tasks run until the job is cancelled.
    bool isLongRunning = false;
    // The processors are not counted: the tasks take what others on the target leave unused.
    bool usesSpareProcessors = false;
    // Label that a target must have; empty: none.
    std::string requiredLabel;
    // Rack near the data; empty: none. Elsewhere a task takes longer.
    std::string dataRack;
    // What the tasks run; tasks of one image behave alike. Empty: unnamed.
    std::string image;
    // Tasks of the step (of one occurrence) that one target may run; 0: any number.
    std::uint32_t maxTasksPerTarget = 0;
    // Bound of the response times of a task that serves users of its own; 0: it serves none.
    std::chrono::milliseconds tailLatencyBound{};
    // Tasks of a lasting step that may be away at the same time by the system's own doing.
    std::uint32_t maxUnavailable = 0;

    // What a task takes of its target: one that fills takes the processors that others leave.
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
    // Opaque to the system; handed to targets as it is.
    std::string text;
    std::vector<StepSpec> steps;
    // 0: the job runs once, at once.
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
