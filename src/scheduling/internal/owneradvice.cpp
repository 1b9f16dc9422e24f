// Advice of an external service on which targets may run a step.
#include "scheduling/ownercore.h"

#include "scheduling/internal/openstep.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling {

namespace {

// A ticket must be valid for at least this long when a start is sent, to cover the transmission;
// one that is short-lived, for half of its validity.
constexpr std::chrono::milliseconds ticketMargin{300};
// Advice on targets without room is asked for only if it lasts this long, so that there is a chance
// of room meanwhile.
constexpr std::chrono::milliseconds minValidityAhead{1000};
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
                           && found->second.usableUntil > now
                   ? &found->second
                   : nullptr;
}

// Whether a task of the step could be on the target as soon as there is room.
bool OwnerCore::isOpenTo(const OpenStep &open, const TargetState &target, TimePoint now)
{
    const auto &reserved = target.reservedFor;
    const bool isReservedForOther =
            reserved && target.reservedUntil > now
            && TaskRef{reserved->job, reserved->occurrence, reserved->step, 0}
                       != TaskRef{open.job->submission.id, open.occurrence->number, open.stepIndex,
                                  0};
    return !isReservedForOther && meetsConstraints(*open.step, target);
}

// Whether the target would have room for the task without its short tasks, which a reservation
// preempts.
bool OwnerCore::hasRoomAfterPreemption(const TargetState &target, const Resources &task)
{
    Resources longRunning;
    for (const auto &[other, run] : target.runs) {
        if (run.isLongRunning) {
            longRunning += run.resources;
        }
    }
    return task.fitsIn(target.info.capacity - longRunning);
}

// Targets that the advice service is to be asked about for the step, the best ones first; none if
// those with a ticket will do, or if asking can't help.
std::vector<OwnerCore::TargetState *> OwnerCore::targetsToAskAbout(
        const OpenStep &open, const std::vector<TargetState *> &pool, TimePoint now)
{
    const auto &step = *open.step;
    const auto task = step.spec->allocatedResources();
    // With a ticket, of any kind and with room now. Room alone tells nothing of what a long-running
    // task may still get.
    std::uint32_t advised = 0;
    std::uint32_t ready = 0;
    bool mayReserveAdvised = false;
    std::vector<TargetState *> unknown;
    for (auto *target : pool) {
        if (!isOpenTo(open, *target, now)) {
            continue;
        }
        if (findTicket(step, *target, now) == nullptr) {
            unknown.push_back(target);
        } else if (isAdvised(open, *target, now)) {
            ++advised;
            ready += task.fitsIn(target->info.capacity - target->used) ? 1 : 0;
            mayReserveAdvised =
                    mayReserveAdvised
                    || (step.spec->isLongRunning && hasRoomAfterPreemption(*target, task));
        }
    }
    if (ready >= step.waiting) {
        return {};
    }
    const auto hasRoom = [&](const TargetState *target) {
        return task.fitsIn(target->info.capacity - target->used);
    };
    const auto firstWithoutRoom = std::partition(unknown.begin(), unknown.end(), hasRoom);
    const bool canReserveOthers = step.spec->isLongRunning && !mayReserveAdvised;
    if (firstWithoutRoom == unknown.begin() && canReserveOthers) {
        std::erase_if(unknown,
                      [&](const auto *target) { return !hasRoomAfterPreemption(*target, task); });
    } else if (advised >= step.waiting || open.advice->validity < minValidityAhead) {
        unknown.erase(firstWithoutRoom, unknown.end());
    }
    // Advice on a step does not change: a target that had a ticket gets another one.
    const auto rank = [&](const TargetState *target) {
        const auto known = step.tickets.find(target->info.id);
        const bool hadTicket = known != step.tickets.end() && known->second.life == target->life
                               && !known->second.text.empty();
        return std::tuple(!hasRoom(target), !hadTicket,
                          target->used.processors - target->info.capacity.processors,
                          std::string_view(target->info.id));
    };
    std::sort(unknown.begin(), unknown.end(),
              [&](const auto *left, const auto *right) { return rank(left) < rank(right); });
    return unknown;
}

// There is at most one unanswered call per step. Each target is asked about once while its answer
// is valid, and a few more than the step needs at a time.
void OwnerCore::askAdvice(const OpenStep &open, const std::vector<TargetState *> &pool,
                          TimePoint now)
{
    auto &step = *open.step;
    const auto task = step.spec->allocatedResources();
    if (step.isAdviceAsked || now < step.adviceAfter || m_adviceCalls >= maxAdviceCalls
        || capRoom(open.job->submission.workspace, task, 1) == CapRoom::None) {
        return;
    }
    const auto unknown = targetsToAskAbout(open, pool, now);
    if (unknown.empty()) {
        return;
    }
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
    if (!approved || validity.count() <= 0) {
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
            ticket->second.usableUntil = now + validity - std::min(ticketMargin, validity / 2);
        }
    }
}

} // namespace cyclamenlatch::scheduling
