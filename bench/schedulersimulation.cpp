// The event loop of the simulation and its baselines.
#include "bench/schedulersimulation.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::bench {

namespace {

using dispatch::CallVerdict;

constexpr Duration failFastTime = std::chrono::milliseconds(1);
constexpr Duration probeTime = std::chrono::milliseconds(1);
constexpr Duration probeTimeout = std::chrono::seconds(1);
constexpr double slowFactor = 20;
constexpr unsigned baselineAttempts = 4;

} // namespace

SchedulerSimulation::SchedulerSimulation(const fleet::FleetDocument &fleet, Policy policy,
                                         std::uint64_t seed)
    : m_fleet(fleet)
    , m_policy(policy)
    , m_random(seed)
    , m_scheduler({}, {}, seed)
    , m_busy(fleet.workers.size())
{
    m_scheduler.setTable(std::make_shared<const routing::RoutingTable>(fleet), m_now, m_actions);
}

void SchedulerSimulation::schedule(TimePoint at, std::function<void()> run)
{
    m_events.push({at, m_nextEvent++, std::move(run)});
}

void SchedulerSimulation::submitAt(Duration time, SimulatedRequest request)
{
    const dispatch::Ticket ticket = m_requests.size() + 1;
    m_requests.push_back(std::move(request));
    m_ends.emplace_back();
    m_arrivals.push_back(m_start + time);
    m_ended.push_back(false);
    schedule(m_start + time, [this, ticket] { arrive(ticket); });
}

void SchedulerSimulation::arrive(dispatch::Ticket ticket)
{
    if (m_policy != Policy::Scheduler) {
        return arriveAtBaseline(ticket);
    }
    const auto &request = m_requests[ticket - 1];
    m_scheduler.submit({ticket, request.queue, request.workspace, ticket, m_now + request.timeout},
                       m_now, m_actions);
    carryOut();
}

void SchedulerSimulation::runUntil(Duration time)
{
    const auto until = m_start + time;
    for (;;) {
        const auto wake = m_policy == Policy::Scheduler ? m_scheduler.nextTimeout() : std::nullopt;
        const bool wakeFirst = wake && (m_events.empty() || *wake < m_events.top().at);
        const auto next = wakeFirst ? *wake : m_events.empty() ? until : m_events.top().at;
        if (next >= until) {
            m_now = until;
            return;
        }
        m_now = std::max(m_now, next);
        if (wakeFirst) {
            m_scheduler.processTimers(m_now, m_actions);
            carryOut();
            continue;
        }
        const auto run = m_events.top().run;
        m_events.pop();
        run();
    }
}

void SchedulerSimulation::carryOut()
{
    while (!m_actions.empty()) {
        const auto actions = std::exchange(m_actions, {});
        for (const auto &action : actions) {
            if (const auto *call = std::get_if<dispatch::StartCall>(&action)) {
                startCall(*call);
            } else if (const auto *probe = std::get_if<dispatch::ProbeMinion>(&action)) {
                // A silent minion answers on no connection.
                const bool silent = m_faults[WorkerId(probe->minionAddress)] == MinionFault::Silent;
                schedule(m_now + (silent ? probeTimeout : probeTime), [this, silent, p = *probe] {
                    const auto verdict = silent ? dispatch::ProbeVerdict::Unresponsive
                                                : dispatch::ProbeVerdict::Running;
                    m_scheduler.probeEnded(p.ticket, p.attempt, verdict, m_now, m_actions);
                    carryOut();
                });
            } else if (const auto *abort = std::get_if<dispatch::AbortCall>(&action)) {
                endCall(abort->ticket, m_inFlight[abort->ticket], CallVerdict::Unknown);
            } else if (const auto *relay = std::get_if<dispatch::RelayAnswer>(&action)) {
                finish(relay->ticket, m_ends[relay->ticket - 1].succeeded);
            } else if (const auto *failRequest = std::get_if<dispatch::FailRequest>(&action)) {
                finish(failRequest->ticket, false);
            }
        }
    }
}

void SchedulerSimulation::startCall(const dispatch::StartCall &call)
{
    ++m_calls;
    noteStart(call.ticket);
    m_inFlight[call.ticket] = call.attempt;
    const auto &request = m_requests[call.ticket - 1];
    Duration run = request.work;
    auto verdict = CallVerdict::Success;
    switch (m_faults[call.worker]) {
    case MinionFault::None:
        break;
    case MinionFault::Slow:
        run = Duration(static_cast<Duration::rep>(static_cast<double>(run.count()) * slowFactor));
        break;
    case MinionFault::FailsFast:
        run = failFastTime;
        verdict = CallVerdict::Failure;
        break;
    case MinionFault::Refuses:
        run = failFastTime;
        verdict = CallVerdict::NotRun;
        break;
    case MinionFault::Silent:
        run = Duration::max() / 2;
        break;
    }
    const bool overruns = run > call.deadline - m_now;
    const auto at = overruns ? call.deadline : m_now + run;
    schedule(at, [this, ticket = call.ticket, attempt = call.attempt, from = m_now,
                  verdict = overruns ? CallVerdict::Unknown : verdict] {
        if (m_inFlight[ticket] == attempt) {
            noteUse(ticket, from, m_now);
            endCall(ticket, attempt, verdict);
            carryOut();
        }
    });
}

void SchedulerSimulation::endCall(dispatch::Ticket ticket, unsigned attempt, CallVerdict verdict)
{
    if (attempt == 0 || m_inFlight[ticket] != attempt) {
        return;
    }
    m_inFlight[ticket] = 0;
    m_ends[ticket - 1].succeeded = verdict == CallVerdict::Success;
    m_scheduler.callEnded(ticket, verdict, m_now, m_actions);
}

void SchedulerSimulation::finish(dispatch::Ticket ticket, bool succeeded)
{
    auto &end = m_ends[ticket - 1];
    end.succeeded = succeeded;
    end.inDeadline = succeeded && m_now - m_arrivals[ticket - 1] <= m_requests[ticket - 1].timeout;
    m_ended[ticket - 1] = true;
}

void SchedulerSimulation::noteStart(dispatch::Ticket ticket)
{
    auto &end = m_ends[ticket - 1];
    if (!end.started) {
        end.started = true;
        end.wait = m_now - m_arrivals[ticket - 1];
    }
}

void SchedulerSimulation::noteUse(dispatch::Ticket ticket, TimePoint from, TimePoint to)
{
    const auto begin = std::max(from, m_countUseFrom);
    if (begin < to) {
        m_used[m_requests[ticket - 1].workspace] += toSeconds(to - begin);
    }
}

double SchedulerSimulation::usedSeconds(const WorkspaceId &workspace) const
{
    const auto found = m_used.find(workspace);
    return found == m_used.end() ? 0 : found->second;
}

void SchedulerSimulation::arriveAtBaseline(dispatch::Ticket ticket)
{
    if (m_policy == Policy::FifoRandom) {
        m_fifo.push_back(ticket);
        return pumpFifo();
    }
    startAtBaseline(ticket, m_turn++ % m_fleet.workers.size(), 1);
}

// The baseline's simulation knows one pool for each queue: workers of the queue's service.
void SchedulerSimulation::pumpFifo()
{
    std::deque<dispatch::Ticket> kept;
    std::map<QueueId, std::vector<std::size_t>> free;
    while (!m_fifo.empty()) {
        const auto ticket = m_fifo.front();
        const auto &queueId = m_requests[ticket - 1].queue;
        if (!free.contains(queueId)) {
            const auto *queue = m_fleet.findQueue(queueId);
            const auto &pool = m_fleet.findService(queue->service)->pool;
            auto &list = free[queueId];
            for (std::size_t index = 0; index < m_busy.size(); ++index) {
                const auto &worker = m_fleet.workers[index];
                if (worker.pool == pool && m_busy[index] < worker.slots) {
                    list.push_back(index);
                }
            }
        }
        auto &list = free[queueId];
        if (list.empty()) {
            if (free.size() == m_fleet.queues.size()
                && std::all_of(free.begin(), free.end(),
                               [](const auto &item) { return item.second.empty(); })) {
                break;
            }
            kept.push_back(ticket);
            m_fifo.pop_front();
            continue;
        }
        m_fifo.pop_front();
        const auto place = uniformBelow(m_random, static_cast<std::uint32_t>(list.size()));
        const auto worker = list[place];
        startAtBaseline(ticket, worker, 1);
        if (m_busy[worker] >= m_fleet.workers[worker].slots) {
            list.erase(list.begin() + place);
        }
    }
    m_fifo.insert(m_fifo.begin(), kept.begin(), kept.end());
}

void SchedulerSimulation::startAtBaseline(dispatch::Ticket ticket, std::size_t worker,
                                          unsigned attempt)
{
    ++m_calls;
    noteStart(ticket);
    ++m_busy[worker];
    const auto fault = m_faults[m_fleet.workers[worker].id];
    Duration run = m_requests[ticket - 1].work;
    if (fault == MinionFault::Slow) {
        run = Duration(static_cast<Duration::rep>(static_cast<double>(run.count()) * slowFactor));
    } else if (fault == MinionFault::Silent) {
        run = m_requests[ticket - 1].timeout;
    } else if (fault != MinionFault::None) {
        run = failFastTime;
    }
    const bool succeeded = fault == MinionFault::None || fault == MinionFault::Slow;
    schedule(m_now + run, [this, ticket, worker, attempt, succeeded, from = m_now] {
        --m_busy[worker];
        noteUse(ticket, from, m_now);
        const bool retries = m_policy == Policy::RoundRobinRetrying && attempt < baselineAttempts;
        if (!succeeded && retries) {
            startAtBaseline(ticket, m_turn++ % m_fleet.workers.size(), attempt + 1);
        } else {
            finish(ticket, succeeded);
        }
        if (m_policy == Policy::FifoRandom) {
            pumpFifo();
        }
    });
}

double SchedulerSimulation::shareInDeadline() const
{
    const auto good = std::count_if(m_ends.begin(), m_ends.end(),
                                    [](const SimulatedEnd &end) { return end.inDeadline; });
    return static_cast<double>(good) / static_cast<double>(m_requests.size());
}

} // namespace cyclamenlatch::bench
