// Actions that the scheduler asks the dispatcher to carry out.
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

// Sends the request to a minion; callEnded reports its end.
struct StartCall
{
    Ticket ticket = 0;
    WorkerId worker;
    std::string minionAddress;
    TimePoint deadline;
    // Number of this attempt, counted from 1.
    unsigned attempt = 1;
};

// Asks the minion on a new connection whether it is alive; probeEnded reports the answer.
struct ProbeMinion
{
    Ticket ticket = 0;
    unsigned attempt = 1;
    std::string minionAddress;
};

// Aborts the request's call; callEnded reports its end like that of any other call.
struct AbortCall
{
    Ticket ticket = 0;
};

// Ends the request with the minion's answer to the last call.
struct RelayAnswer
{
    Ticket ticket = 0;
};

// Ends the request with an error instead of a minion's answer.
struct FailRequest
{
    Ticket ticket = 0;
    Outcome outcome = Outcome::NotRun;
    Error error;
    // Delay after which the caller may retry; zero when waiting does not help.
    std::chrono::seconds retryAfter{0};
};

using SchedulerAction = std::variant<StartCall, ProbeMinion, AbortCall, RelayAnswer, FailRequest>;
using SchedulerActions = std::vector<SchedulerAction>;

} // namespace cyclamenlatch::dispatch
