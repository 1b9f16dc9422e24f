// Ends calls: frees their slots and units, records outcomes, and retries or ends the requests.
#include "dispatch/scheduler.h"

#include "dispatch/internal/schedulerarithmetic.h"

#include <algorithm>

namespace cyclamenlatch::dispatch {

namespace {

constexpr double longestRunDecay = 0.98;

} // namespace

using detail::fromSeconds;
using detail::movingAverage;
using detail::shortRetryAfter;

Duration Scheduler::probeDelay(const Request &request) const
{
    const auto found = m_queues.find(request.work.queue);
    const double longest = found == m_queues.end() ? 0 : found->second.longestSeconds;
    return std::max(m_settings.minProbeDelay, fromSeconds(longest * m_settings.probeDelayFactor));
}

void Scheduler::callEnded(Ticket ticket, CallVerdict verdict, TimePoint now,
                          SchedulerActions &actions)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end() || found->second.state != State::Running) {
        return;
    }
    auto &request = found->second;
    const auto pool = request.route->pool;
    --poolOf(request).running;
    --m_queues[request.work.queue].running;
    const double runSeconds = toSeconds(now - request.startedAt);
    charge(request, runSeconds - request.chargedSeconds);
    auto &cost = poolOf(request).costSeconds[request.work.workspace];
    cost = movingAverage(cost, runSeconds);
    freeUnits(request, verdict, now);
    recordCallHealth(request, verdict, now);
    if (verdict == CallVerdict::Success) {
        updateRunEstimates(request, runSeconds);
    }
    loadOf(request.work).changedAt = now;
    request.mayHaveRun |= verdict == CallVerdict::Unknown || verdict == CallVerdict::Failure;
    if (!tryRetry(request, verdict, now)) {
        recordFinalHealth(request, now);
        endAfterCall(request, verdict, actions);
    }
    startQueued(pool, now, actions);
}

void Scheduler::freeUnits(const Request &request, CallVerdict verdict, TimePoint now)
{
    auto &worker = m_workers.at(request.worker);
    --worker.calls;
    if (verdict == CallVerdict::Unknown) {
        ++worker.mayStillRun;
        // The minion ends the work at its deadline, so the slot is free by then.
        const auto slotFreeAt =
                std::min(now + m_settings.unknownSlotHold, std::max(now, request.work.deadline));
        m_holds.emplace(slotFreeAt, SlotHold{request.worker});
        m_holds.emplace(request.work.deadline + m_settings.unknownGrace,
                        WorkspaceHold{request.work.workspace, request.worker});
        return;
    }
    --worker.outstanding;
    releaseSlot(request.worker);
    releaseWorkspace(request.work.workspace);
    fairQueueOf(request).unblock(request.work.workspace);
}

void Scheduler::releaseHold(const Hold &hold, TimePoint now, SchedulerActions &actions)
{
    if (const auto *slot = std::get_if<SlotHold>(&hold)) {
        auto &worker = m_workers.at(slot->worker);
        --worker.outstanding;
        releaseSlot(slot->worker);
        startQueued(worker.pool, now, actions);
        return;
    }
    const auto &workspaceHold = std::get<WorkspaceHold>(hold);
    --m_workers.at(workspaceHold.worker).mayStillRun;
    releaseWorkspace(workspaceHold.workspace);
    workspaceAvailable(workspaceHold.workspace, now, actions);
}

void Scheduler::updateRunEstimates(const Request &request, double seconds)
{
    auto &queue = m_queues[request.work.queue];
    queue.meanSeconds = movingAverage(queue.meanSeconds, seconds);
    queue.longestSeconds = std::max(queue.longestSeconds * longestRunDecay, seconds);
    auto &pool = m_pools[request.route->pool];
    pool.meanSeconds = movingAverage(pool.meanSeconds, seconds);
}

void Scheduler::recordCallHealth(Request &request, CallVerdict verdict, TimePoint now)
{
    auto &health = m_workers.at(request.worker).health;
    if (verdict == CallVerdict::Success) {
        health.addSuccess(now, m_settings.health);
        poolOf(request).health.addSuccess(now, m_settings.health);
        m_workFaults.addSuccess(request.work.signature);
        for (const auto &failed : request.failedOn) {
            recordWorkerFailure(failed, now);
        }
        request.failedOn.clear();
        return;
    }
    health.addOccupancy(now, m_settings.health);
    if (verdict == CallVerdict::NotRun) {
        // Work that never started can't be the cause of the failure.
        recordWorkerFailure(request.worker, now);
        return;
    }
    request.failedOn.insert(request.worker);
    m_workFaults.addFailure(request.work.signature, request.worker, m_settings.workFaultWorkers,
                            now);
}

// A request that failed on several workers and succeeded on none does not count against them: the
// request itself may be the cause.
void Scheduler::recordFinalHealth(const Request &request, TimePoint now)
{
    if (request.failedOn.size() != 1
        || m_workFaults.isAtFault(request.work.signature, m_settings.workFaultWorkers)) {
        return;
    }
    recordWorkerFailure(*request.failedOn.begin(), now);
}

void Scheduler::recordWorkerFailure(const WorkerId &workerId, TimePoint now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end()) {
        return;
    }
    auto &worker = found->second;
    worker.health.addFailure(now, m_settings.health);
    m_pools[worker.pool].health.addFailure(now, m_settings.health);
    const auto *pool = m_table->findPool(worker.pool);
    if (pool == nullptr) {
        return;
    }
    routing::OutcomeCounts peers;
    unsigned unavailable = 0;
    for (const auto index : pool->workers) {
        const auto &peerId = m_table->workers()[index].id;
        const auto &peer = m_workers.at(peerId);
        unavailable += peer.leaving || peer.health.isEjected(now) ? 1 : 0;
        if (peerId != workerId) {
            const auto counts = peer.health.counts(now, m_settings.health);
            peers.successes += counts.successes;
            peers.failures += counts.failures;
        }
    }
    if (unavailable < pool->maxUnavailable && unavailable + 1 < pool->workers.size()
        && worker.health.deservesEjection(now, peers, m_settings.health)) {
        worker.health.eject(now, m_settings.health);
    }
}

bool Scheduler::tryRetry(Request &request, CallVerdict verdict, TimePoint now)
{
    if (verdict == CallVerdict::Success || request.callerDisconnected
        || request.attempts >= m_settings.retry.maxAttempts) {
        return false;
    }
    if (verdict != CallVerdict::NotRun && !request.route->idempotent) {
        return false;
    }
    if (m_workFaults.isAtFault(request.work.signature, m_settings.workFaultWorkers)) {
        return false;
    }
    const auto delay = fullJitterBackoff(request.attempts, m_settings.retry, m_random);
    if (now + delay >= latestStart(request, now) || !poolOf(request).retries.tryWithdraw()) {
        return false;
    }
    request.state = State::BackingOff;
    setWake(request, now + delay);
    return true;
}

void Scheduler::endAfterCall(const Request &request, CallVerdict verdict, SchedulerActions &actions)
{
    const auto ticket = request.work.ticket;
    if (verdict == CallVerdict::Success || verdict == CallVerdict::Failure) {
        actions.push_back(RelayAnswer{ticket});
        forget(ticket);
        return;
    }
    if (request.mayHaveRun) {
        failRequest(request, {ErrorKind::Unknown, "", ""}, std::chrono::seconds(0), actions);
        return;
    }
    failRequest(request,
                {ErrorKind::Unavailable, "no minion took the request",
                 "try again after the delay in Retry-After"},
                shortRetryAfter, actions);
}

bool Scheduler::isConnectionDead(const Request &request, ProbeVerdict verdict) const
{
    switch (verdict) {
    case ProbeVerdict::Running:
        return false;
    case ProbeVerdict::NotRunning:
        // The minion may have sent the answer just before it answered the probe, so the connection
        // counts as dead only when a second probe finds the same.
        return request.probedNotRunning;
    case ProbeVerdict::Alive:
        // The probe can't tell a dead connection from slow work. The request is retried only once,
        // since the retry may be just as slow.
        return request.route->idempotent && request.attempts == 1;
    case ProbeVerdict::Unresponsive:
        return request.route->idempotent;
    }
    return false;
}

void Scheduler::probeEnded(Ticket ticket, unsigned attempt, ProbeVerdict verdict, TimePoint now,
                           SchedulerActions &actions)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end() || found->second.state != State::Running
        || found->second.attempts != attempt) {
        return;
    }
    auto &request = found->second;
    if (isConnectionDead(request, verdict)) {
        actions.push_back(AbortCall{ticket});
        return;
    }
    request.probedNotRunning = verdict == ProbeVerdict::NotRunning;
    setWake(request,
            now + (request.probedNotRunning ? m_settings.answerGrace : probeDelay(request)));
}

} // namespace cyclamenlatch::dispatch
