// What the scheduling core tells targets to do, and how they answer.
#pragma once

#include "scheduling/taskref.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::scheduling {

struct StartOrder
{
    std::string targetId;
    TaskRef task;
    std::uint32_t attempt = 0;
    // On the target's clock; for everything that runs there.
    std::chrono::milliseconds leaseUntil{};
    std::string checkpoint;
    // Of the advice service; empty when the queue has none.
    std::string ticket;
};

struct StopOrder
{
    std::string targetId;
    TaskRef task;
    std::uint32_t attempt = 0;
};

struct PaceOrder
{
    std::string targetId;
    TaskRef task;
    std::uint32_t attempt = 0;
    // Share of its full speed at which the task works.
    int percent = 100;
};

// Asks the advice service which of these targets may run a step; the answer may take a while.
struct AdviseOrder
{
    // Of the step; the task's own number has no meaning.
    TaskRef step;
    std::vector<std::string> targets;
    // That the service takes at most, as its rule says.
    std::chrono::milliseconds timeout{};
};

// A target that may run a step, and the ticket that its start carries.
struct Advice
{
    std::string target;
    std::string ticket;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder, AdviseOrder>;

// What the next call to a target that keeps its runs alive says.
struct KeepAliveOrder
{
    std::chrono::milliseconds leaseUntil{};
    // Ends up to this one are recorded and may be forgotten.
    std::uint64_t endsRecorded = 0;
    std::chrono::milliseconds wait{};
    // Beyond that, how long its answer is waited for.
    std::chrono::milliseconds timeout{};
};

enum class OrderResult {
    // Done, or known to have been done before.
    Accepted,
    // A holder with a higher token has called.
    Fenced,
    // Not done: the attempt is not higher than one that ended there.
    StaleAttempt,
    // Not done: its deadline had passed.
    DeadlineExceeded,
    // Not done: it does not fit.
    InsufficientResources,
    // Not done: the advice service's ticket is missing or no longer valid.
    InvalidTicket,
    // Not done: the target is unwell, is another one, or found the order malformed.
    Refused,
    // No byte of it can have reached the target.
    NotSent,
    // No answer: it may be done now, later or never.
    OutcomeUnknown,
};

} // namespace cyclamenlatch::scheduling
