// A target's answer to a keep-alive, a call that renews the leases of its runs: the runs that are
// active there and those that have ended.
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
    // The task or the target failed. This is the only outcome that counts as a failed attempt.
    Failed,
    Stopped,
    // The lease of the run expired.
    LeaseExpired,
    // Another member of the task's gang ended.
    GangMemberEnded,
    // The other members of the gang did not start in time.
    GangTimedOut,
};

struct RunStatus
{
    TaskRef task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    // Progress in percent; for a long-running task, 100 means that it is at work.
    int percent = 0;
    // Over the last half second: the tail latency in milliseconds for a latency-sensitive task, the
    // processors in use in thousandths of a core for any other.
    std::optional<std::int64_t> metric;
};

struct EndedRun
{
    // Counts the ends within the target's incarnation, without gaps.
    std::uint64_t number = 0;
    TaskRef task;
    std::uint32_t attempt = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;
};

struct KeepAliveReport
{
    // Reading of the target's own clock when it answered.
    std::chrono::milliseconds clock{};
    // See TargetInfo::incarnation; 0: not known.
    std::int64_t incarnation = 0;
    // Fencing token of the keep-alive that it answers.
    std::uint64_t token = 0;
    std::vector<RunStatus> running;
    std::vector<EndedRun> ends;
};

} // namespace cyclamenlatch::scheduling
