// Orders of the scheduling core to targets and to the advice service, and their results.
#pragma once

#include "global/nametable.h"
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
    // End of the lease on all runs of the target, on the target's clock.
    std::chrono::milliseconds leaseUntil{};
    std::string checkpoint;
    // Issued by the advice service; empty when the queue needs no advice.
    std::string ticket;
    // Incarnation of the target that the order is for; see TargetInfo. Another one must not get it:
    // it has another clock, and its counts start anew. 0: not known.
    std::int64_t incarnation = 0;
    // Fencing token. The target refuses lower ones from then on; see OwnerCore::fencingToken.
    std::uint64_t token = 0;
};

struct StopOrder
{
    std::string targetId;
    TaskRef task;
    std::uint32_t attempt = 0;
    // See StartOrder.
    std::int64_t incarnation = 0;
    std::uint64_t token = 0;
};

struct PaceOrder
{
    std::string targetId;
    TaskRef task;
    std::uint32_t attempt = 0;
    // Speed of the task as a percentage of its full speed.
    int percent = 100;
    // See StartOrder.
    std::int64_t incarnation = 0;
    std::uint64_t token = 0;
};

// Asks the advice service which of these targets may run a step.
struct AdviseOrder
{
    // The step asked about; its index member is not used.
    TaskRef step;
    std::vector<std::string> targets;
    // The life of each of them that the advice is for, since it does not hold for the next one.
    std::vector<std::uint32_t> lives;
    // Upper bound of the answer time according to the advice rule.
    std::chrono::milliseconds timeout{};
};

// A target that may run a step, and the ticket to send with the start.
struct Advice
{
    std::string target;
    std::string ticket;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder, AdviseOrder>;

// Parameters of the next keep-alive of a target.
struct KeepAliveOrder
{
    // On the target's clock.
    std::chrono::milliseconds leaseUntil{};
    // Ends up to this number are recorded, so the target may forget them.
    std::uint64_t endsRecorded = 0;
    // How long the target may delay its answer to wait for an end.
    std::chrono::milliseconds wait{};
    // How long the caller waits for the answer beyond that.
    std::chrono::milliseconds timeout{};
    // See StartOrder.
    std::int64_t incarnation = 0;
    std::uint64_t token = 0;
};

enum class OrderResult {
    // Carried out, by this call or by an earlier one.
    Accepted,
    // Not done: an owner with a higher fencing token has called the target.
    Fenced,
    // Not done: an attempt with this or a higher number has already ended there.
    StaleAttempt,
    // Not done: the order's deadline had passed.
    DeadlineExceeded,
    // Not done: the target lacks the resources.
    InsufficientResources,
    // Not done: the ticket of the advice service is missing or has expired.
    InvalidTicket,
    // Not done: the target is unhealthy, has another id, or rejected the order as malformed.
    Refused,
    // Not done: no byte of the order can have reached the target.
    NotSent,
    // Not done: the target has restarted, so the incarnation that the order was for is gone.
    TargetRestarted,
    // No answer: the order may have been carried out, or be carried out later or never.
    OutcomeUnknown,
};

// Names for log lines.
inline constexpr NamedValue<OrderResult> orderResultEntries[] = {
        {OrderResult::Accepted, "accepted"},
        {OrderResult::Fenced, "fenced"},
        {OrderResult::StaleAttempt, "stale-attempt"},
        {OrderResult::DeadlineExceeded, "deadline-exceeded"},
        {OrderResult::InsufficientResources, "insufficient-resources"},
        {OrderResult::InvalidTicket, "invalid-ticket"},
        {OrderResult::Refused, "refused"},
        {OrderResult::NotSent, "not-sent"},
        {OrderResult::TargetRestarted, "target-restarted"},
        {OrderResult::OutcomeUnknown, "outcome-unknown"},
};
inline constexpr NameTable orderResultNames{orderResultEntries};

} // namespace cyclamenlatch::scheduling
