// A target's answer when it is asked to hold what runs: what runs there and what has ended.
#pragma once

#include "global/nametable.h"
#include "scheduling/taskref.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::scheduling {

enum class RunEnd {
    Done,
    // By its own fault or the target's; the only end that counts as an attempt.
    Failed,
    Stopped,
    // Its lease ran out.
    Lapsed,
    // Another member of its gang ended.
    Broken,
    // The others of its gang did not come in time.
    Alone,
};

struct RunningRow
{
    TaskRef task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    // Progress; for a task that lasts, 100 says that it is at work.
    int percent = 0;
    // Over the last half second: the tail of response times in milliseconds for a task that
    // serves, thousandths of a core in use for any other.
    std::optional<std::int64_t> figure;
};

struct EndRow
{
    // Rises by one with each end of the target's life.
    std::uint64_t number = 0;
    TaskRef task;
    std::uint32_t attempt = 0;
    RunEnd how = RunEnd::Failed;
    std::string checkpoint;
};

struct HoldReport
{
    // The target's own clock when it answered.
    std::chrono::milliseconds clock{};
    // See TargetInfo::born.
    std::int64_t born = 0;
    std::vector<RunningRow> running;
    std::vector<EndRow> ends;
};

} // namespace cyclamenlatch::scheduling
