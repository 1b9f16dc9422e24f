// Advice: which targets may run a step, where only a service outside knows.
#include "scheduling/ownercore.h"

#include "scheduling/internal/openstep.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// A ticket is used no later than this before it ends, for the start's way.
constexpr std::chrono::milliseconds ticketMargin{300};
// The advice service takes one call after the other and refuses when 32 wait.
constexpr std::uint32_t mostAdviceCalls = 4;
// After a call without an answer.
constexpr std::chrono::milliseconds adviceRetry{200};
// Targets that one call may name, and those that it names for each task that waits: some are
// refused.
constexpr std::size_t mostAdvised = 100;
constexpr std::uint32_t advisedPerTask = 3;
// The advice for a step does not change while it runs.
constexpr std::chrono::seconds refusedAdvice{60};

} // namespace

bool OwnerCore::isAdvised(const OpenStep &open, const TargetState &target, TimePoint now)
{
    if (open.advice == nullptr) {
        return true;
    }
    const auto ticket = open.step->tickets.find(target.info.id);
    return ticket != open.step->tickets.end() && !ticket->second.text.empty()
           && ticket->second.validUntil > now + ticketMargin;
}

// Asks for targets of which nothing valid is known, those with the most room first, a few more than
// the step needs. One call for a step at a time.
void OwnerCore::askAdvice(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    auto &step = *open.step;
    if (step.isAdviceAsked || now < step.adviceAfter || m_adviceCalls >= mostAdviceCalls) {
        return;
    }
    std::uint32_t usable = 0;
    std::vector<TargetState *> unknown;
    for (auto *target : pool) {
        const auto ticket = step.tickets.find(target->info.id);
        const bool isKnown =
                ticket != step.tickets.end() && ticket->second.validUntil > now + ticketMargin;
        if (!isKnown) {
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
            {unknown.size(), mostAdvised, std::size_t{advisedPerTask} * step.waiting});
    AdviseOrder order;
    order.step = TaskRef{open.job->submission.id, open.occurrence->number, open.stepIndex, 0};
    for (std::size_t index = 0; index < wanted; ++index) {
        order.targets.push_back(unknown[index]->info.id);
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
        step->adviceAfter = now + adviceRetry;
        return;
    }
    // The advice for a step does not change: refused targets are not asked about again soon.
    for (const auto &target : order.targets) {
        step->tickets[target] = {{}, now + refusedAdvice};
    }
    for (const auto &advice : *approved) {
        step->tickets[advice.target] = {advice.ticket, now + validity};
    }
}

} // namespace cyclamenlatch::scheduling
