// Advice of an external service on which targets may run a step.
#include "scheduling/ownercore.h"

#include "scheduling/internal/openstep.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// A ticket must be valid for at least this long when a start is sent, to cover the transmission.
constexpr std::chrono::milliseconds ticketMargin{300};
// Limit of unanswered calls: the advice service handles one call at a time and refuses calls when
// 32 wait.
constexpr std::uint32_t maxAdviceCalls = 4;
// Delay before the next call for a step after one without an answer.
constexpr std::chrono::milliseconds adviceRetryDelay{200};
// Most targets that one call may name, and the number named per waiting task: more than one, since
// some are refused.
constexpr std::size_t maxTargetsPerCall = 100;
constexpr std::uint32_t targetsPerTask = 3;
// How long a refused target is not asked about again: the advice for a step does not change while
// it runs.
constexpr std::chrono::seconds refusalValidity{60};

} // namespace

bool OwnerCore::isAdvised(const OpenStep &open, const TargetState &target, TimePoint now)
{
    if (open.advice == nullptr) {
        return true;
    }
    const auto *ticket = findTicket(*open.step, target, now);
    return ticket != nullptr && !ticket->text.empty();
}

// The valid answer of the advice service for the target's present life; null if there is none.
const detail::Ticket *OwnerCore::findTicket(const StepState &step, const TargetState &target,
                                            TimePoint now)
{
    const auto found = step.tickets.find(target.info.id);
    return found != step.tickets.end() && found->second.life == target.life
                           && found->second.validUntil > now + ticketMargin
                   ? &found->second
                   : nullptr;
}

// Asks about targets for which there is no valid answer, those with the most free processors first
// and a few more than the step needs. There is at most one unanswered call per step.
void OwnerCore::askAdvice(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    auto &step = *open.step;
    if (step.isAdviceAsked || now < step.adviceAfter || m_adviceCalls >= maxAdviceCalls) {
        return;
    }
    std::uint32_t usable = 0;
    std::vector<TargetState *> unknown;
    for (auto *target : pool) {
        if (findTicket(step, *target, now) == nullptr) {
            unknown.push_back(target);
        } else if (isAdvised(open, *target, now)) {
            ++usable;
        }
    }
    if (unknown.empty() || usable >= step.waiting) {
        return;
    }
    std::sort(unknown.begin(), unknown.end(), [](const auto *left, const auto *right) {
        return std::pair(left->used.processors - left->info.capacity.processors, left->info.id)
               < std::pair(right->used.processors - right->info.capacity.processors,
                           right->info.id);
    });
    const auto wanted = std::min<std::size_t>(
            {unknown.size(), maxTargetsPerCall, std::size_t{targetsPerTask} * step.waiting});
    AdviseOrder order;
    order.step = TaskRef{open.job->submission.id, open.occurrence->number, open.stepIndex, 0};
    for (std::size_t index = 0; index < wanted; ++index) {
        order.targets.push_back(unknown[index]->info.id);
        order.lives.push_back(unknown[index]->life);
    }
    order.timeout = open.advice->decision + open.advice->perTarget * wanted;
    step.isAdviceAsked = true;
    ++m_adviceCalls;
    m_orders.emplace_back(std::move(order));
}

void OwnerCore::adviceAnswered(const AdviseOrder &order,
                               const std::optional<std::vector<Advice>> &approved,
                               std::chrono::milliseconds validity, TimePoint now)
{
    --m_adviceCalls;
    auto *step = findStep(order.step, nullptr, nullptr);
    if (step == nullptr) {
        return;
    }
    step->isAdviceAsked = false;
    if (!approved) {
        step->adviceAfter = now + adviceRetryDelay;
        return;
    }
    // Targets that are not among the approved ones are refused.
    for (std::size_t index = 0; index < order.targets.size(); ++index) {
        step->tickets[order.targets[index]] = {{}, now + refusalValidity, order.lives[index]};
    }
    for (const auto &advice : *approved) {
        if (const auto ticket = step->tickets.find(advice.target); ticket != step->tickets.end()) {
            ticket->second.text = advice.ticket;
            ticket->second.validUntil = now + validity;
        }
    }
}

} // namespace cyclamenlatch::scheduling
