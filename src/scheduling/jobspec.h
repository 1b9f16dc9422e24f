// What a caller asks for: a job of steps, each of several alike tasks.
#pragma once

#include "global/time.h"
#include "scheduling/room.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::scheduling {

struct StepSpec
{
    std::uint32_t count = 0;
    // Of each task.
    Room need;
    // The caller's rough guess of a task's run time.
    std::chrono::milliseconds estimate{};
    // Numbers of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    bool savesCheckpoints = false;
    // The tasks work only while all of them are present, and end together.
    bool isGang = false;
    // The tasks take longer when they run on more than one rack.
    bool wantsOneRack = false;
    // Copies of a task may run side by side.
    bool allowsCopies = false;
    // The tasks run until the job is cancelled.
    bool lasts = false;
    // The processors are not counted: the tasks take what others on the target leave unused.
    bool fills = false;
    // Label that a target must have; empty: none.
    std::string requiredLabel;
    // Rack near the data; empty: none. Elsewhere a task takes longer.
    std::string dataRack;
    // What the tasks run; tasks of one image behave alike. Empty: unnamed.
    std::string image;
    // Tasks of the step (of one occurrence) that one target may run; 0: any number.
    std::uint32_t mostPerTarget = 0;
    // Bound of the response times of a task that serves users of its own; 0: it serves none.
    std::chrono::milliseconds tailTarget{};
    // Tasks of a lasting step that may be away at the same time by the system's own doing.
    std::uint32_t mayBeAway = 0;

    // What a task takes of its target: one that fills takes the processors that others leave.
    Room roomTaken() const
    {
        auto room = need;
        if (fills) {
            room.processors = 0;
        }
        return room;
    }
    bool serves() const { return tailTarget.count() > 0; }
};

struct JobSpec
{
    // Opaque to the system; handed to targets as it is.
    std::string text;
    std::vector<StepSpec> steps;
    // 0: the job runs once, at once.
    std::uint32_t repeats = 0;
    WallTime firstDue{};
    std::chrono::milliseconds interval{};

    std::uint32_t occurrenceCount() const { return repeats == 0 ? 1 : repeats; }
    bool isTimed() const { return repeats > 0; }
    bool lasts() const
    {
        for (const auto &step : steps) {
            if (step.lasts) {
                return true;
            }
        }
        return false;
    }
};

} // namespace cyclamenlatch::scheduling
