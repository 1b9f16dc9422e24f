// Leases and keep-alives of targets: what a target may still run after its calls have stopped.
#include "scheduling/ownercore.h"

#include "scheduling/internal/ownerstate.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::scheduling {

using detail::RunPhase;

namespace {

// Lowest rate of a target's clock relative to the owner's.
constexpr double minClockRate = 0.98;
// Added to the lease for messages that are on their way when it expires.
constexpr std::chrono::milliseconds leaseExpiryMargin{150};
// How long the target may delay the answer to a keep-alive until a run ends. This also bounds the
// time until an unreachable target is noticed.
constexpr std::chrono::milliseconds keepAliveWait{1500};
// The same for targets with short tasks, since a keep-alive that is never answered hides their ends
// for at least this long.
constexpr std::chrono::milliseconds shortTaskWait{400};
// The same for targets where latency-sensitive tasks run beside tasks that use spare processors, so
// that the metrics of the tasks are read this often.
constexpr std::chrono::milliseconds metricsWait{500};
// Delay between an answer with ends and the next keep-alive, so that one answer reports several
// ends. Doubled with each answer that lists only known ends, as all do while the store is
// unavailable.
constexpr std::chrono::milliseconds minKeepAliveDelay{25};
constexpr std::chrono::milliseconds maxKeepAliveDelay{250};
constexpr std::uint32_t maxDelayDoublings = 4;
// The delay grows by this many times the lag of the event loop.
constexpr int loopDelayFactor = 2;

} // namespace

std::chrono::milliseconds OwnerCore::leaseFrom(const TargetState &target, TimePoint now) const
{
    return clockOf(target, now) + m_settings.runLease;
}

std::chrono::milliseconds OwnerCore::clockOf(const TargetState &target, TimePoint now)
{
    return *target.clock + toMilliseconds(now - target.clockAt);
}

std::string OwnerCore::leaseText(const TargetState &target, TimePoint now)
{
    const auto incarnations = fmt::format("incarnation={} entry_incarnation={}", target.incarnation,
                                          target.info.incarnation);
    return target.clock && target.isAdopted
                   ? fmt::format("{} lease=known lease_until={} clock={}", incarnations,
                                 target.leaseUntil.count(), clockOf(target, now).count())
                   : fmt::format("{} lease=assumed", incarnations);
}

std::optional<std::chrono::milliseconds> OwnerCore::clockOf(const std::string &id,
                                                            TimePoint now) const
{
    const auto *target = findTarget(id);
    return target == nullptr || !target->clock ? std::nullopt
                                               : std::optional(clockOf(*target, now));
}

bool OwnerCore::hasLeaseExpired(const TargetState &target, TimePoint now) const
{
    const auto margin = m_settings.stopTimeout + leaseExpiryMargin;
    if (!target.clock || !target.isAdopted) {
        // An earlier owner may have granted the longest lease just before this one took over.
        return hasLongestLeaseExpired(std::max(m_began, target.lastOrderAt), now);
    }
    const auto clockNow = *target.clock
                          + std::chrono::duration_cast<std::chrono::milliseconds>(
                                  (now - target.clockAt) * minClockRate);
    return clockNow > target.leaseUntil + margin;
}

bool OwnerCore::hasLongestLeaseExpired(TimePoint granted, TimePoint now) const
{
    const auto margin = m_settings.stopTimeout + leaseExpiryMargin;
    return toSeconds(now - granted) * minClockRate > toSeconds(m_settings.maxRunLease + margin);
}

std::optional<KeepAliveOrder> OwnerCore::keepAliveOrder(const std::string &id, TimePoint now)
{
    auto *target = findTarget(id);
    if (target == nullptr || target->info.address.empty()) {
        return std::nullopt;
    }
    KeepAliveOrder order;
    order.incarnation = target->incarnation;
    order.timeout = target->responseTime.timeout();
    target->requestedWait = order.wait;
    if (!target->isAdopted || !target->clock) {
        // The first keep-alive grants no lease, since the target's clock is not known yet. It
        // changes nothing, so that it may reach any incarnation.
        return order;
    }
    if (target->failedCalls > 0) {
        // An unanswered call may still be carried out. While the target is unreachable, leases are
        // not extended, so that the last one can expire.
        return order;
    }
    order.endsRecorded = target->endsRecorded;
    order.leaseUntil = leaseFrom(*target, now);
    target->leaseUntil = std::max(target->leaseUntil, order.leaseUntil);
    target->lastOrderAt = now;
    order.wait = keepAliveWait;
    bool hasSpareProcessorRuns = false;
    bool hasLatencySensitiveRuns = false;
    for (const auto &[task, run] : target->runs) {
        hasSpareProcessorRuns = hasSpareProcessorRuns || run.usesSpareProcessors;
        hasLatencySensitiveRuns = hasLatencySensitiveRuns || run.isLatencySensitive;
        order.wait = run.isLongRunning ? order.wait : std::min(order.wait, shortTaskWait);
        if (run.phase == RunPhase::OutcomeUnknown || run.phase == RunPhase::Stopping) {
            order.wait = std::min(order.wait, m_settings.stopTimeout);
        }
    }
    if (hasSpareProcessorRuns && hasLatencySensitiveRuns) {
        order.wait = std::min(order.wait, metricsWait);
    }
    if (target->endsSeen > target->endsRecorded) {
        // A target that lists unrecorded ends answers a waiting keep-alive at once.
        order.wait = std::chrono::milliseconds{0};
    }
    target->requestedWait = order.wait;
    return order;
}

void OwnerCore::keepAliveFailed(const std::string &id, TimePoint)
{
    if (auto *target = findTarget(id)) {
        ++target->failedCalls;
        target->responseTime.addTimeout();
        scheduleForPlanning(*target);
    }
}

void OwnerCore::keepAliveAnswered(const std::string &id, const KeepAliveReport &report,
                                  TimePoint sentAt, TimePoint now)
{
    auto *target = findTarget(id);
    if (target == nullptr) {
        return;
    }
    const bool isOtherIncarnation = target->incarnation != 0 && report.incarnation != 0
                                    && report.incarnation != target->incarnation;
    if (isOtherIncarnation) {
        reportDecision(Decision::Kind::TargetRestarted, {}, 0, id,
                       fmt::format("new_incarnation={} new_clock={} {}", report.incarnation,
                                   report.clock.count(), leaseText(*target, now)));
    }
    const bool isConfirmed = target->incarnation != 0 && report.incarnation == target->incarnation;
    if (isOtherIncarnation || (!target->isAdopted && !isConfirmed)) {
        target->endsSeen = 0;
        target->endsRecorded = 0;
        target->leaseUntil = report.clock + m_settings.maxRunLease;
    }
    target->incarnation = report.incarnation == 0 ? target->incarnation : report.incarnation;
    if (isOtherIncarnation) {
        releaseRuns(*target, Decision::Kind::TargetRestarted, now);
    }
    target->clock = report.clock;
    target->clockAt = now;
    target->lastAnswer = now;
    target->failedCalls = 0;
    if (const auto answerTime = now - sentAt - target->requestedWait; answerTime >= Duration{}) {
        // The target answered without waiting, or waited for the whole time without an end.
        target->responseTime.addSample(answerTime);
    }
    target->isAdopted = true;
    ++target->lists;
    const auto seenBefore = target->endsSeen;
    for (const auto &end : report.ends) {
        if (end.number > target->endsSeen) {
            target->endsSeen = end.number;
            if (!m_uncoveredSince) {
                m_uncoveredSince = now;
            }
            handleRunEnd(*target, end, now);
        }
    }
    const bool isUsefulAnswer = report.ends.empty() || target->endsSeen > seenBefore;
    target->redundantAnswers = isUsefulAnswer ? 0 : target->redundantAnswers + 1;
    for (const auto &row : report.running) {
        handleRunStatus(*target, row, sentAt, now);
    }
    releaseLostRuns(*target, report, sentAt, now);
    scheduleForPlanning(*target);
}

std::chrono::milliseconds OwnerCore::keepAliveDelay(const std::string &id, Duration loopDelay) const
{
    const auto *target = findTarget(id);
    if (target == nullptr || target->endsSeen <= target->endsRecorded) {
        return std::chrono::milliseconds{0};
    }
    const auto doublings = std::min(target->redundantAnswers, maxDelayDoublings);
    const auto delay = minKeepAliveDelay * (std::int64_t{1} << doublings);
    return std::min(delay + toMilliseconds(loopDelayFactor * loopDelay), maxKeepAliveDelay);
}

} // namespace cyclamenlatch::scheduling
