// What the scheduler asks its shell to do.
#pragma once

#include "dispatch/fairqueue.h"
#include "dispatch/outcome.h"
#include "global/error.h"
#include "global/ids.h"
#include "global/time.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::dispatch {

// Send the request to a minion and report the end with callEnded.
struct StartCall
{
    Ticket ticket = 0;
    WorkerId worker;
    std::string minionAddress;
    TimePoint deadline;
    // Whether the request may be sent again later, so that its body must be kept.
    unsigned attempt = 1;
};

// Ask the minion for a sign of life on a new connection and report with probeEnded.
struct ProbeMinion
{
    Ticket ticket = 0;
    unsigned attempt = 1;
    std::string minionAddress;
};

// Abort the request's call; its end is then reported like any other.
struct AbortCall
{
    Ticket ticket = 0;
};

// Relay the minion's answer that the last call brought.
struct RelayAnswer
{
    Ticket ticket = 0;
};

// Answer without a minion's answer.
struct FailRequest
{
    Ticket ticket = 0;
    Outcome outcome = Outcome::NotRun;
    Error error;
    // When it makes sense to ask again; zero when waiting does not help.
    std::chrono::seconds retryAfter{0};
};

using SchedulerAction = std::variant<StartCall, ProbeMinion, AbortCall, RelayAnswer, FailRequest>;
using SchedulerActions = std::vector<SchedulerAction>;

} // namespace cyclamenlatch::dispatch
