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

enum class RunOutcome {
    Done,
    // By its own fault or the target's; the only end that counts as an attempt.
    Failed,
    Stopped,
    // Its lease ran out.
    LeaseExpired,
    // Another member of its gang ended.
    GangMemberEnded,
    // The others of its gang did not come in time.
    GangTimedOut,
};

struct RunStatus
{
    TaskRef task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    // Progress; for a task that lasts, 100 says that it is at work.
    int percent = 0;
    // Over the last half second: the tail of response times in milliseconds for a task that
    // serves, thousandths of a core in use for any other.
    std::optional<std::int64_t> metric;
};

struct EndedRun
{
    // Rises by one with each end of the target's life.
    std::uint64_t number = 0;
    TaskRef task;
    std::uint32_t attempt = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;
};

struct KeepAliveReport
{
    // The target's own clock when it answered.
    std::chrono::milliseconds clock{};
    // See TargetInfo::incarnation.
    std::int64_t incarnation = 0;
    std::vector<RunStatus> running;
    std::vector<EndedRun> ends;
};

} // namespace cyclamenlatch::scheduling
