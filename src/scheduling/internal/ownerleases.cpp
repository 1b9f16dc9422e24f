// Leases and keep-alives of targets: what a target may still run after its calls have stopped.
//
// A lease ends at a time on its target's clock, and each incarnation of a target has a clock of its
// own. The owner knows the leases of an incarnation from the first answer to a call with a token
// that fences off all calls for earlier incarnations and of earlier owners. What was granted before
// that answer may last for the longest lease.
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
// A reading that differs by more from what is known of the target's clock is of another clock. A
// smaller lag is covered by the margin of leases.
constexpr std::chrono::milliseconds maxClockLag{100};
constexpr std::chrono::milliseconds maxClockLead{2000};
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
    return target.clock && target.isLeaseKnown
                   ? fmt::format("{} lease=known lease_until={} foreign_until={} clock={}",
                                 incarnations, target.leaseUntil.count(),
                                 target.foreignLeaseUntil.count(), clockOf(target, now).count())
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
    if (!target.isLeaseKnown) {
        const auto granted = std::max({m_began, target.lastOrderAt, target.unfencedAt});
        return hasLeaseExpired(granted, longestForeignLease(target), now);
    }
    return lowestClock(target, now)
           > std::max(target.leaseUntil, target.foreignLeaseUntil) + leaseMargin();
}

bool OwnerCore::hasLeaseExpired(TimePoint granted, std::chrono::milliseconds lease,
                                TimePoint now) const
{
    return toSeconds(now - granted) * minClockRate > toSeconds(lease + leaseMargin());
}

std::chrono::milliseconds OwnerCore::leaseMargin() const
{
    return m_settings.stopTimeout + leaseExpiryMargin;
}

std::chrono::milliseconds OwnerCore::lowestClock(const TargetState &target, TimePoint now)
{
    return *target.clock
           + std::chrono::duration_cast<std::chrono::milliseconds>((now - target.clockAt)
                                                                   * minClockRate);
}

std::chrono::milliseconds OwnerCore::longestForeignLease(const TargetState &target) const
{
    const auto incarnation = target.incarnation != 0 ? target.incarnation : target.info.incarnation;
    const auto settled = m_settled.find(target.info.id);
    const bool isSettled =
            settled != m_settled.end() && (incarnation == 0 || settled->second == incarnation);
    return !target.hasEarlierCalls || isSettled ? m_settings.maxRunLease : m_settings.longestLease;
}

std::map<std::string, std::int64_t> OwnerCore::settledIncarnations(TimePoint now)
{
    for (const auto &[id, target] : m_targets) {
        const bool isSettled =
                target->incarnation != 0 && target->isLeaseKnown
                && !entryNamesLaterIncarnation(*target)
                && lowestClock(*target, now) > target->foreignLeaseUntil + leaseMargin();
        if (isSettled) {
            m_settled[id] = target->incarnation;
        }
    }
    auto known = m_settled;
    known.insert(m_settledBefore.begin(), m_settledBefore.end());
    return known;
}

void OwnerCore::restoreSettledIncarnations(const std::map<std::string, std::int64_t> &settled)
{
    for (const auto &[id, incarnation] : settled) {
        if (findTarget(id) != nullptr) {
            m_settled[id] = incarnation;
        } else {
            rememberSettled(id, incarnation);
        }
    }
}

void OwnerCore::rememberSettled(const std::string &id, std::int64_t incarnation)
{
    // A few data centres of a large fleet; most of those that return do so within seconds.
    constexpr std::size_t maxRemembered = 512;
    m_settledBefore[id] = incarnation;
    if (m_settledBefore.size() > maxRemembered) {
        m_settledBefore.erase(m_settledBefore.begin());
    }
}

std::uint64_t OwnerCore::fencingToken(const std::string &id) const
{
    return m_settings.firstToken + std::min(tokenRises(id), m_settings.tokenCount - 1);
}

std::uint32_t OwnerCore::tokenRises(const std::string &id) const
{
    const auto found = m_tokenRises.find(id);
    return found == m_tokenRises.end() ? 0 : found->second;
}

bool OwnerCore::hasTokenLeft(const std::string &id) const
{
    return tokenRises(id) < m_settings.tokenCount;
}

void OwnerCore::fenceEarlierCalls(TargetState &target)
{
    const auto &id = target.info.id;
    if (target.usedToken != fencingToken(id) || !hasTokenLeft(id)) {
        return;
    }
    ++m_tokenRises[id];
    if (!hasTokenLeft(id)) {
        reportDecision(Decision::Kind::TargetQuarantined, {}, 0, id,
                       "has restarted so often that no fencing token is left; not used until "
                       "another entry owns the work");
    }
}

// Whatever was called before may still arrive: the lease and the runs are not known.
void OwnerCore::startNewLife(TargetState &target, TimePoint now)
{
    target.life = ++m_lives;
    target.hasEarlierCalls = true;
    target.isAdopted = false;
    target.isLeaseKnown = false;
    target.unfencedAt = now;
    m_settled.erase(target.info.id);
    fenceEarlierCalls(target);
    scheduleForPlanning(target);
}

void OwnerCore::forgetIncarnation(TargetState &target, TimePoint now)
{
    startNewLife(target, now);
    target.leaseUntil = {};
    target.endsSeen = 0;
    target.endsRecorded = 0;
    target.firstEndListed = 0;
    releaseRuns(target, Decision::Kind::TargetRestarted, now);
}

bool OwnerCore::entryNamesLaterIncarnation(const TargetState &target)
{
    return target.incarnation != 0 && target.info.incarnation > target.incarnation;
}

bool OwnerCore::isOtherIncarnation(const TargetState &target, const KeepAliveReport &report)
{
    if (target.incarnation != 0 && report.incarnation != 0) {
        return report.incarnation != target.incarnation;
    }
    // The clock of an incarnation never goes back.
    return target.clock && report.clock < *target.clock;
}

bool OwnerCore::isOtherClock(const std::string &id, std::chrono::milliseconds clock,
                             TimePoint sentAt, TimePoint now) const
{
    const auto *target = findTarget(id);
    if (target == nullptr || !target->clock) {
        return false;
    }
    // The order was answered at some time since it was sent. On a clock that is behind, a lease
    // lasts for longer.
    const auto earliest = std::min(lowestClock(*target, sentAt), clockOf(*target, sentAt));
    return clock < earliest - maxClockLag || clock > clockOf(*target, now) + maxClockLead;
}

void OwnerCore::answeredOnOtherClock(const std::string &id, TimePoint now)
{
    if (auto *target = findTarget(id)) {
        startNewLife(*target, now);
    }
}

std::optional<KeepAliveOrder> OwnerCore::keepAliveOrder(const std::string &id, TimePoint now)
{
    auto *target = findTarget(id);
    if (target == nullptr || target->info.address.empty() || !hasTokenLeft(id)) {
        return std::nullopt;
    }
    KeepAliveOrder order;
    order.incarnation = target->incarnation;
    order.token = fencingToken(id);
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
    target->usedToken = order.token;
    if (target->firstEndListed > 0 && target->firstEndListed <= target->endsRecorded) {
        // Only while there is something to forget: a call that is carried out late lets the next
        // incarnation forget ends of its own.
        order.endsRecorded = target->endsRecorded;
    }
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

void OwnerCore::keepAliveFailed(const std::string &id, TimePoint now)
{
    if (auto *target = findTarget(id)) {
        if (target->failedCalls++ == 0) {
            // The next calls grant no lease.
            target->leaseCallLostAt = now;
        }
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
    if (isOtherIncarnation(*target, report)) {
        reportDecision(Decision::Kind::TargetRestarted, {}, 0, id,
                       fmt::format("new_incarnation={} new_clock={} {}", report.incarnation,
                                   report.clock.count(), leaseText(*target, now)));
        forgetIncarnation(*target, now);
    }
    target->incarnation = report.incarnation == 0 ? target->incarnation : report.incarnation;
    target->clock = report.clock;
    target->clockAt = now;
    target->lastAnswer = now;
    target->failedCalls = 0;
    if (const auto answerTime = now - sentAt - target->requestedWait; answerTime >= Duration{}) {
        // The target answered without waiting, or waited for the whole time without an end.
        target->responseTime.addSample(answerTime);
    }
    if (report.token < fencingToken(id) || !hasTokenLeft(id)) {
        // Calls for an earlier incarnation may still be carried out, so that the list may not show
        // all that will run there.
        target->unfencedAt = now;
        return scheduleForPlanning(*target);
    }
    if (!std::exchange(target->isLeaseKnown, true)) {
        target->foreignLeaseUntil = report.clock + longestForeignLease(*target);
    }
    target->isAdopted = true;
    ++target->lists;
    const auto seenBefore = target->endsSeen;
    target->firstEndListed = 0;
    for (const auto &end : report.ends) {
        if (target->firstEndListed == 0 || end.number < target->firstEndListed) {
            target->firstEndListed = end.number;
        }
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
