// The event loop over several entries.
#include "bench/entriessimulation.h"

#include "membership/peermessage.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::bench {

namespace {

using dispatch::CallVerdict;

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration messageDelay = std::chrono::milliseconds(1);

} // namespace

EntriesSimulation::EntriesSimulation(const fleet::FleetDocument &fleet, unsigned entries,
                                     Exchange exchange, std::uint64_t seed)
    : m_exchange(exchange)
{
    const auto table = std::make_shared<const routing::RoutingTable>(fleet);
    for (const auto &worker : fleet.workers) {
        m_minions[worker.id].slots = worker.slots;
    }
    for (unsigned index = 0; index < entries; ++index) {
        const EntryId id("e-" + std::to_string(index));
        auto &entry = *m_entries.emplace_back(std::make_unique<Entry>(id, seed * entries + index));
        entry.scheduler.setTable(table, m_now, entry.actions);
        entry.load.setTable(table);
        if (exchange != Exchange::None) {
            schedule(m_now + tickInterval * index / entries, [this, index] { tick(index); });
        }
    }
}

void EntriesSimulation::schedule(TimePoint at, std::function<void()> run)
{
    m_events.push({at, m_nextEvent++, std::move(run)});
}

void EntriesSimulation::submitAt(Duration time, unsigned entry, SimulatedRequest request)
{
    const dispatch::Ticket ticket = m_requests.size() + 1;
    m_requests.push_back(std::move(request));
    m_ends.emplace_back();
    m_arrivals.push_back(m_start + time);
    schedule(m_start + time, [this, entry, ticket] { arrive(entry, ticket); });
}

void EntriesSimulation::cutOffAt(Duration time, unsigned entry)
{
    schedule(m_start + time, [this, entry] { m_entries[entry]->cutOff = true; });
}

void EntriesSimulation::arrive(unsigned entry, dispatch::Ticket ticket)
{
    const auto &request = m_requests[ticket - 1];
    auto &state = *m_entries[entry];
    state.scheduler.submit(
            {ticket, request.queue, request.workspace, ticket, m_now + request.timeout}, m_now,
            state.actions);
    carryOut(entry);
}

void EntriesSimulation::tick(unsigned index)
{
    auto &entry = *m_entries[index];
    const auto &load = entry.scheduler.load();
    entry.scheduler.setSlotShares(*entry.load.table(), entry.load.shares(load, m_now));
    const auto uses = entry.load.takeRemoteUse();
    if (m_exchange == Exchange::Digests) {
        entry.scheduler.chargeRemote(uses);
    }
    const auto digest = entry.sender.next(load, m_entries.size() - 1, m_now);
    if (digest && !entry.cutOff) {
        tell(index, *digest);
    }
    schedule(m_now + tickInterval, [this, index] { tick(index); });
}

void EntriesSimulation::tell(unsigned from, const dispatch::LoadReport &digest)
{
    m_entries[from]->bytes += membership::encode(digest).size() * (m_entries.size() - 1);
    for (unsigned to = 0; to < m_entries.size(); ++to) {
        if (to == from) {
            continue;
        }
        schedule(m_now + messageDelay, [this, from, to, digest] {
            if (!m_entries[to]->cutOff) {
                m_entries[to]->load.receive(m_entries[from]->id, 1, digest, m_now);
            }
        });
    }
}

bool EntriesSimulation::wakeBefore(TimePoint time)
{
    std::optional<TimePoint> first;
    unsigned entry = 0;
    for (unsigned index = 0; index < m_entries.size(); ++index) {
        const auto wake = m_entries[index]->scheduler.nextTimeout();
        if (wake && (!first || *wake < *first)) {
            first = wake;
            entry = index;
        }
    }
    if (!first || *first >= time) {
        return false;
    }
    m_now = std::max(m_now, *first);
    m_entries[entry]->scheduler.processTimers(m_now, m_entries[entry]->actions);
    carryOut(entry);
    return true;
}

void EntriesSimulation::runUntil(Duration time)
{
    const auto until = m_start + time;
    for (;;) {
        const auto next = m_events.empty() ? until : std::min(until, m_events.top().at);
        if (wakeBefore(next)) {
            continue;
        }
        m_now = std::max(m_now, next);
        if (next >= until) {
            return;
        }
        const auto run = m_events.top().run;
        m_events.pop();
        run();
    }
}

void EntriesSimulation::carryOut(unsigned entry)
{
    auto &state = *m_entries[entry];
    while (!state.actions.empty()) {
        const auto actions = std::exchange(state.actions, {});
        for (const auto &action : actions) {
            if (const auto *call = std::get_if<dispatch::StartCall>(&action)) {
                startCall(entry, *call);
            } else if (const auto *probe = std::get_if<dispatch::ProbeMinion>(&action)) {
                state.scheduler.probeEnded(probe->ticket, probe->attempt,
                                           dispatch::ProbeVerdict::Running, m_now, state.actions);
            } else if (const auto *relay = std::get_if<dispatch::RelayAnswer>(&action)) {
                auto &end = m_ends[relay->ticket - 1];
                end.succeeded = true;
                end.inDeadline = m_now - m_arrivals[relay->ticket - 1]
                                 <= m_requests[relay->ticket - 1].timeout;
            }
        }
    }
}

void EntriesSimulation::startCall(unsigned entry, const dispatch::StartCall &call)
{
    auto &end = m_ends[call.ticket - 1];
    ++m_entries[entry]->started;
    end.started = true;
    end.wait = m_now - m_arrivals[call.ticket - 1];
    auto &minion = m_minions[call.worker];
    changeRunning(minion, 1);
    const auto &request = m_requests[call.ticket - 1];
    const double slowdown = std::max(1.0, double(minion.running) / minion.slots);
    const Duration run(
            static_cast<Duration::rep>(static_cast<double>(request.work.count()) * slowdown));
    const bool overruns = run > call.deadline - m_now;
    const auto at = overruns ? call.deadline : m_now + run;
    schedule(at, [this, entry, ticket = call.ticket, &minion, overruns, began = m_now] {
        changeRunning(minion, -1);
        const auto from = std::max(began, m_countFrom);
        m_used[m_requests[ticket - 1].workspace] += std::max(0.0, toSeconds(m_now - from));
        auto &state = *m_entries[entry];
        state.scheduler.callEnded(ticket, overruns ? CallVerdict::Unknown : CallVerdict::Success,
                                  m_now, state.actions);
        carryOut(entry);
    });
}

void EntriesSimulation::changeRunning(Minion &minion, int change)
{
    const auto from = std::max(minion.countedAt, m_countFrom);
    if (m_now > from) {
        const double seconds = toSeconds(m_now - from);
        const unsigned over = minion.running > minion.slots ? minion.running - minion.slots : 0;
        m_use.overSeconds += over * seconds;
        m_use.runningSeconds += minion.running * seconds;
    }
    minion.countedAt = m_now;
    minion.running += change;
    if (m_now >= m_countFrom) {
        m_use.mostRunning = std::max(m_use.mostRunning, minion.running);
    }
}

double EntriesSimulation::shareInDeadline() const
{
    const auto good = std::count_if(m_ends.begin(), m_ends.end(),
                                    [](const SimulatedEnd &end) { return end.inDeadline; });
    return static_cast<double>(good) / static_cast<double>(m_requests.size());
}

double EntriesSimulation::usedSeconds(const WorkspaceId &workspace) const
{
    const auto found = m_used.find(workspace);
    return found == m_used.end() ? 0 : found->second;
}

double EntriesSimulation::bytesPerSecond(unsigned entry) const
{
    return static_cast<double>(m_entries[entry]->bytes) / toSeconds(m_now - m_start);
}

} // namespace cyclamenlatch::bench
