// Queues and starts requests, and fails those that can't run.
#include "dispatch/scheduler.h"

#include "dispatch/internal/schedulerarithmetic.h"
#include "routing/minionchoice.h"

#include <algorithm>

namespace cyclamenlatch::dispatch {

namespace {

constexpr double negligibleOccupancy = 0.01;
constexpr std::chrono::seconds longestRetryAfter{60};
// Retries that a new pool may use before its requests have added any to the budget.
constexpr double initialRetries = 10;

} // namespace

using detail::fromSeconds;
using detail::shortRetryAfter;

Scheduler::Scheduler(DispatchSettings settings, StartPermits permits, std::uint64_t seed)
    : m_settings(settings)
    , m_permits(std::move(permits))
    , m_random(seed)
    , m_table(std::make_shared<const routing::RoutingTable>())
{}

void Scheduler::setTable(std::shared_ptr<const routing::RoutingTable> table, TimePoint now,
                         SchedulerActions &actions)
{
    m_table = std::move(table);
    for (auto &[id, worker] : m_workers) {
        worker.slots = 0;
    }
    for (const auto &routed : m_table->workers()) {
        auto &worker = m_workers[routed.id];
        worker.pool = routed.pool;
        worker.slots = routed.slots;
        worker.leaving = routed.leaving || m_leaving.contains(routed.id);
    }
    std::erase_if(m_workers, [](const auto &item) {
        return item.second.slots == 0 && item.second.outstanding == 0
               && item.second.mayStillRun == 0;
    });

    std::vector<Ticket> waiting;
    for (const auto &[ticket, request] : m_requests) {
        if (request.state != State::Running) {
            waiting.push_back(ticket);
        }
    }
    std::set<PoolId> pools;
    for (const auto ticket : waiting) {
        auto &request = m_requests.at(ticket);
        fairQueueOf(request).remove(ticket);
        if (!refreshRoute(request)) {
            failRequest(request,
                        {ErrorKind::NotFound, "the queue was removed", "use another queue"},
                        std::chrono::seconds(0), actions);
            continue;
        }
        pools.insert(request.route->pool);
        if (request.state == State::Queued) {
            enqueue(request, now, false);
        }
    }
    for (const auto &pool : pools) {
        startQueued(pool, now, actions);
    }
}

bool Scheduler::refreshRoute(Request &request)
{
    const auto *route = m_table->findQueue(request.work.queue);
    if (route == nullptr) {
        return false;
    }
    request.route = route;
    request.table = m_table;
    return true;
}

void Scheduler::setLeaving(std::set<WorkerId> leaving)
{
    m_leaving = std::move(leaving);
    for (const auto &routed : m_table->workers()) {
        m_workers[routed.id].leaving = routed.leaving || m_leaving.contains(routed.id);
    }
}

void Scheduler::setKnownEntries(unsigned entries)
{
    m_knownEntries = std::max(entries, 1U);
}

void Scheduler::setSlotShares(const routing::RoutingTable &table, const SlotShares &shares)
{
    if (&table != m_table.get() || shares.size() != table.workers().size()) {
        return;
    }
    for (std::size_t index = 0; index < shares.size(); ++index) {
        m_workers[table.workers()[index].id].slotShare = shares[index];
    }
}

void Scheduler::chargeRemote(const std::vector<RemoteUse> &uses)
{
    for (const auto &use : uses) {
        const auto *route = m_table->findQueue(use.queue);
        const auto pool = route == nullptr ? m_pools.end() : m_pools.find(route->pool);
        if (pool == m_pools.end()) {
            continue;
        }
        auto &fairQueue = route->urgent ? pool->second.urgent : pool->second.normal;
        fairQueue.chargeRemote(use.workspace, m_table->weight(use.workspace), use.seconds);
    }
}

void Scheduler::charge(const Request &request, double seconds)
{
    const auto &workspace = request.work.workspace;
    fairQueueOf(request).charge(workspace, m_table->weight(workspace), seconds);
    loadOf(request.work).usedSeconds += seconds;
}

LoadValue &Scheduler::loadOf(const SchedulerWork &work)
{
    return m_load[{work.queue, work.workspace}];
}

void Scheduler::dropIdleLoad(TimePoint now)
{
    std::erase_if(m_load, [&](const auto &item) {
        return item.second.demand == 0
               && now - item.second.changedAt > m_settings.idleLoadRetention;
    });
}

unsigned Scheduler::connectionShare() const
{
    const unsigned entries = std::max(m_settings.mostEntries, m_knownEntries);
    const unsigned forCalls = m_settings.connectionsPerMinion - m_settings.healthConnections;
    return std::max(1U, forCalls / entries);
}

FairQueue &Scheduler::fairQueueOf(const Request &request)
{
    auto &pool = m_pools[request.route->pool];
    return request.route->urgent ? pool.urgent : pool.normal;
}

void Scheduler::submit(const SchedulerWork &work, TimePoint now, SchedulerActions &actions)
{
    const auto *route = m_table->findQueue(work.queue);
    if (route == nullptr) {
        actions.push_back(FailRequest{work.ticket,
                                      Outcome::NotRun,
                                      {ErrorKind::NotFound, "the queue does not exist",
                                       "check the queue's name in the address"}});
        return;
    }
    if (work.deadline <= now) {
        actions.push_back(FailRequest{work.ticket,
                                      Outcome::NotRun,
                                      {ErrorKind::Timeout, "the request's deadline has passed",
                                       "allow more time in Request-Timeout-Ms"}});
        return;
    }
    auto &request = m_requests[work.ticket];
    request.work = work;
    auto &load = loadOf(work);
    ++load.demand;
    load.changedAt = now;
    request.route = route;
    request.table = m_table;
    auto [pool, isNew] = m_pools.try_emplace(route->pool);
    if (isNew) {
        pool->second.retries = RetryBudget(initialRetries);
    }
    pool->second.retries.deposit(m_settings.retry);
    ++pool->second.arrivals;
    if (refuseEarly(request, now, actions)) {
        return;
    }
    enqueue(request, now, false);
    startQueued(route->pool, now, actions);
    const auto found = m_requests.find(work.ticket);
    if (found != m_requests.end() && found->second.state == State::Queued
        && !hasUsableWorker(found->second)) {
        failRequest(found->second,
                    {ErrorKind::Unavailable, "no worker that matches the queue takes requests now",
                     "try again later, or ask the operator for workers that match the queue's "
                     "selector"},
                    shortRetryAfter, actions);
    }
}

bool Scheduler::hasUsableWorker(const Request &request) const
{
    const auto &workers = request.table->workers();
    return std::any_of(request.route->candidates.begin(), request.route->candidates.end(),
                       [&](routing::WorkerIndex index) {
                           const auto &worker = m_workers.at(workers[index].id);
                           return worker.slots > 0 && !worker.leaving;
                       });
}

bool Scheduler::refuseEarly(const Request &request, TimePoint now, SchedulerActions &actions)
{
    const auto &fairQueue = fairQueueOf(request);
    const bool full = fairQueue.size() >= m_settings.maxQueuedPerPool;
    if (!full && now + estimatedWait(request) <= latestStart(request, now)) {
        return false;
    }
    failRequest(
            request,
            {ErrorKind::Overloaded,
             full ? "the queue is full" : "the request can't start before its deadline",
             "try again after the delay in Retry-After, or allow more time in Request-Timeout-Ms"},
            retryDelay(request), actions);
    return true;
}

Duration Scheduler::estimatedRun(const Request &request) const
{
    const auto found = m_queues.find(request.work.queue);
    return found == m_queues.end() ? Duration(0) : fromSeconds(found->second.meanSeconds);
}

TimePoint Scheduler::latestStart(const Request &request, TimePoint now) const
{
    const Duration remaining = std::max(request.work.deadline - now, Duration(0));
    const auto run = fromSeconds(toSeconds(estimatedRun(request)) * m_settings.runMargin);
    return request.work.deadline - std::min(run, remaining / 2);
}

// The wait is the number of requests that fair queueing starts first, divided by the rate at which
// the pool's running requests end.
Duration Scheduler::estimatedWait(const Request &request) const
{
    const auto found = m_pools.find(request.route->pool);
    if (found == m_pools.end()) {
        return Duration(0);
    }
    const auto &pool = found->second;
    const auto &fairQueue = request.route->urgent ? pool.urgent : pool.normal;
    if (fairQueue.size() == 0) {
        return Duration(0);
    }
    const double weight = m_table->weight(request.work.workspace);
    const auto own = static_cast<double>(fairQueue.size(request.work.workspace));
    const double share = weight / std::max(fairQueue.backloggedWeight(), weight);
    double ahead = std::min(static_cast<double>(fairQueue.size()), (own + 1) / share);
    if (!request.route->urgent) {
        ahead += static_cast<double>(pool.urgent.size());
    }
    return fromSeconds(ahead * pool.meanSeconds / std::max(pool.running, 1U));
}

std::chrono::seconds Scheduler::retryDelay(const Request &request) const
{
    const auto wait = std::chrono::ceil<std::chrono::seconds>(estimatedWait(request));
    return std::clamp(wait, shortRetryAfter, longestRetryAfter);
}

void Scheduler::enqueue(Request &request, TimePoint now, bool front)
{
    request.state = State::Queued;
    auto &fairQueue = fairQueueOf(request);
    const double weight = m_table->weight(request.work.workspace);
    if (front) {
        fairQueue.pushFront(request.work.ticket, request.work.workspace, request.work.queue,
                            weight);
    } else {
        fairQueue.push(request.work.ticket, request.work.workspace, request.work.queue, weight);
    }
    setWake(request, latestStart(request, now));
}

void Scheduler::startQueued(const PoolId &poolId, TimePoint now, SchedulerActions &actions)
{
    auto &pool = m_pools[poolId];
    const auto start = [&](Ticket ticket) { return tryStart(ticket, now, actions); };
    pool.urgent.startAll(start);
    pool.normal.startAll(start);
    if (pool.urgent.size() + pool.normal.size() > 0 && !pool.wakePending) {
        pool.wakePending = true;
        m_poolWakes.insert({now + m_settings.slotRetry, poolId});
    }
}

FairQueue::Start Scheduler::tryStart(Ticket ticket, TimePoint now, SchedulerActions &actions)
{
    auto &request = m_requests.at(ticket);
    const auto *worker = reserveWorker(request, now);
    if (worker == nullptr) {
        return FairQueue::Start::QueueBlocked;
    }
    if (!acquireWorkspace(request.work.workspace)) {
        releaseSlot(worker->id);
        return FairQueue::Start::WorkspaceBlocked;
    }
    start(request, *worker, now, actions);
    return FairQueue::Start::Started;
}

// Failures add to a worker's load only as far as it fails more often than its pool: when all
// workers fail alike, sending the work to another one would not help.
double Scheduler::loadOf(const WorkerState &worker, unsigned leastSlots, double poolFailureShare,
                         TimePoint now) const
{
    if (worker.leaving || worker.health.isEjected(now) || worker.slotsExhaustedUntil > now) {
        return routing::fullLoad;
    }
    const unsigned share = std::max(worker.slotShare, leastSlots);
    // One connection is reserved for probes.
    const unsigned connections = std::max(1U, connectionShare() - 1);
    const unsigned slots = std::min({worker.slots, share, connections});
    if (slots == 0) {
        return routing::fullLoad;
    }
    const double usableSlots =
            std::max(1.0, slots * worker.health.openShare(now, m_settings.health));
    const double occupancy = worker.health.occupancy(now, m_settings.health);
    if (occupancy < negligibleOccupancy) {
        return worker.outstanding / usableSlots;
    }
    const double failureShare = worker.health.counts(now, m_settings.health).failureShare();
    const double excess = failureShare > 0 ? 1 - poolFailureShare / failureShare : 1;
    return (worker.outstanding + occupancy * std::max(0.0, excess)) / usableSlots;
}

// A queue without a running request may use one slot beyond this entry's share, so that it can't
// starve when the share was computed from outdated load reports.
const routing::RoutedWorker *Scheduler::reserveWorker(const Request &request, TimePoint now)
{
    const auto *worker = reserveWorker(request, 0, now);
    if (worker != nullptr || m_queues[request.work.queue].running > 0) {
        return worker;
    }
    return reserveWorker(request, 1, now);
}

const routing::RoutedWorker *Scheduler::reserveWorker(const Request &request, unsigned leastSlots,
                                                      TimePoint now)
{
    const auto &workers = request.table->workers();
    const auto &candidates = request.route->candidates;
    const double poolFailureShare =
            m_pools[request.route->pool].health.counts(now, m_settings.health).failureShare();
    const auto load = [&](std::size_t index) {
        const auto &id = workers[candidates[index]].id;
        if (request.failedOn.contains(id) && request.failedOn.size() < candidates.size()) {
            return routing::fullLoad;
        }
        return loadOf(m_workers.at(id), leastSlots, poolFailureShare, now);
    };
    while (const auto chosen = routing::chooseLessLoaded(candidates.size(), load, m_random)) {
        const auto &routed = workers[candidates[*chosen]];
        if (!m_permits.acquireSlot || m_permits.acquireSlot(routed.id)) {
            return &routed;
        }
        m_workers.at(routed.id).slotsExhaustedUntil = now + m_settings.slotRetry;
    }
    return nullptr;
}

void Scheduler::start(Request &request, const routing::RoutedWorker &worker, TimePoint now,
                      SchedulerActions &actions)
{
    auto &state = m_workers.at(worker.id);
    ++state.outstanding;
    ++state.calls;
    ++poolOf(request).running;
    ++m_queues[request.work.queue].running;
    request.state = State::Running;
    request.worker = worker.id;
    request.minionAddress = worker.minionAddress;
    request.startedAt = now;
    request.probedNotRunning = false;
    ++request.attempts;
    request.chargedSeconds = poolOf(request).costSeconds[request.work.workspace];
    charge(request, request.chargedSeconds);
    setWake(request, now + probeDelay(request));
    actions.push_back(StartCall{request.work.ticket, worker.id, worker.minionAddress,
                                request.work.deadline, request.attempts});
}

bool Scheduler::acquireWorkspace(const WorkspaceId &workspace)
{
    return workspace.empty() || !m_permits.acquireWorkspace
           || m_permits.acquireWorkspace(workspace);
}

void Scheduler::releaseWorkspace(const WorkspaceId &workspace)
{
    if (!workspace.empty() && m_permits.releaseWorkspace) {
        m_permits.releaseWorkspace(workspace);
    }
}

void Scheduler::releaseSlot(const WorkerId &worker)
{
    if (m_permits.releaseSlot) {
        m_permits.releaseSlot(worker);
    }
}

void Scheduler::cancel(Ticket ticket, SchedulerActions &actions)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end()) {
        return;
    }
    auto &request = found->second;
    request.callerDisconnected = true;
    if (request.state == State::Running) {
        return;
    }
    failRequest(request,
                {ErrorKind::Cancelled, "the caller closed its connection",
                 "keep the connection open until the answer"},
                std::chrono::seconds(0), actions);
}

void Scheduler::failRequest(const Request &request, Error error, std::chrono::seconds retryAfter,
                            SchedulerActions &actions)
{
    const auto ticket = request.work.ticket;
    FailRequest action{ticket, Outcome::NotRun, std::move(error), retryAfter};
    if (request.mayHaveRun) {
        action.outcome = Outcome::Unknown;
        action.error = {ErrorKind::Unknown, "no minion gave a whole answer; the work may have run",
                        "find out whether the work took effect before you repeat it"};
        action.retryAfter = std::chrono::seconds(0);
    }
    if (request.state == State::Queued) {
        fairQueueOf(request).remove(ticket);
    }
    actions.push_back(std::move(action));
    forget(ticket);
}

void Scheduler::forget(Ticket ticket)
{
    const auto found = m_requests.find(ticket);
    m_wakes.erase({found->second.wake, ticket});
    --loadOf(found->second.work).demand;
    m_requests.erase(found);
}

void Scheduler::workspaceAvailable(const WorkspaceId &workspace, TimePoint now,
                                   SchedulerActions &actions)
{
    for (auto &[id, pool] : m_pools) {
        pool.urgent.unblock(workspace);
        pool.normal.unblock(workspace);
        if (pool.urgent.size(workspace) + pool.normal.size(workspace) > 0) {
            startQueued(id, now, actions);
        }
    }
}

void Scheduler::slotAvailable(const WorkerId &worker, TimePoint now, SchedulerActions &actions)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    found->second.slotsExhaustedUntil = now;
    startQueued(found->second.pool, now, actions);
}

void Scheduler::processTimers(TimePoint now, SchedulerActions &actions)
{
    while (!m_holds.empty() && m_holds.begin()->first <= now) {
        const auto hold = m_holds.begin()->second;
        m_holds.erase(m_holds.begin());
        releaseHold(hold, now, actions);
    }
    while (!m_poolWakes.empty() && m_poolWakes.begin()->first <= now) {
        const auto pool = m_poolWakes.begin()->second;
        m_poolWakes.erase(m_poolWakes.begin());
        m_pools[pool].wakePending = false;
        startQueued(pool, now, actions);
    }
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        wakeUp(m_wakes.begin()->second, now, actions);
    }
}

void Scheduler::wakeUp(Ticket ticket, TimePoint now, SchedulerActions &actions)
{
    auto &request = m_requests.at(ticket);
    switch (request.state) {
    case State::Queued:
        failRequest(request,
                    {ErrorKind::Overloaded, "the request could not start before its deadline",
                     "try again after the delay in Retry-After"},
                    retryDelay(request), actions);
        return;
    case State::BackingOff: {
        if (!refreshRoute(request)) {
            failRequest(request,
                        {ErrorKind::NotFound, "the queue was removed", "use another queue"},
                        std::chrono::seconds(0), actions);
            return;
        }
        const auto pool = request.route->pool;
        enqueue(request, now, true);
        startQueued(pool, now, actions);
        return;
    }
    case State::Running:
        // The next probe is sent only when this one gets no result.
        setWake(request, now + m_settings.probeTimeout + probeDelay(request));
        actions.push_back(ProbeMinion{ticket, request.attempts, request.minionAddress});
        return;
    }
}

void Scheduler::setWake(Request &request, TimePoint wake)
{
    m_wakes.erase({request.wake, request.work.ticket});
    request.wake = wake;
    m_wakes.insert({wake, request.work.ticket});
}

std::optional<TimePoint> Scheduler::nextTimeout() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (!m_wakes.empty()) {
        consider(m_wakes.begin()->first);
    }
    if (!m_holds.empty()) {
        consider(m_holds.begin()->first);
    }
    if (!m_poolWakes.empty()) {
        consider(m_poolWakes.begin()->first);
    }
    return next;
}

unsigned Scheduler::inFlight(const WorkerId &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? 0 : found->second.calls + found->second.mayStillRun;
}

unsigned Scheduler::inFlight() const
{
    unsigned count = 0;
    for (const auto &[id, worker] : m_workers) {
        count += worker.calls + worker.mayStillRun;
    }
    return count;
}

bool Scheduler::isEjected(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.health.isEjected(now);
}

std::vector<PoolDemandSample> Scheduler::poolDemands() const
{
    std::vector<PoolDemandSample> samples;
    for (const auto &[id, pool] : m_pools) {
        samples.push_back(
                {id, pool.arrivals, pool.urgent.size() + pool.normal.size(), pool.meanSeconds});
    }
    return samples;
}

std::size_t Scheduler::queued() const
{
    std::size_t count = 0;
    for (const auto &[id, pool] : m_pools) {
        count += pool.urgent.size() + pool.normal.size();
    }
    return count;
}

} // namespace cyclamenlatch::dispatch
