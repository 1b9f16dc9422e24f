// Carries out the scheduler's actions: sends and aborts calls, sends probes, completes requests.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatchevents.h"
#include "dispatch/minionanswer.h"
#include "routing/routingtable.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <utility>

namespace cyclamenlatch::dispatch {

namespace {

// Response header of a probe that says whether the minion still runs the request: "yes" or "no".
constexpr std::string_view runningHeader = "Minion-Running";
constexpr int firstServerError = 500;
constexpr std::chrono::milliseconds shortestCallTimeout{1};

ProbeVerdict classifyProbe(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return ProbeVerdict::Unresponsive;
    }
    const auto running = result.reply->headers.find(runningHeader);
    if (!running) {
        return ProbeVerdict::Alive;
    }
    return running == "yes" ? ProbeVerdict::Running : ProbeVerdict::NotRunning;
}

WorkSignature signatureOf(const DispatchRequest &request)
{
    const auto &queue = request.queue.value();
    const auto &workspace = request.workspace.value();
    WorkSignature hash = XXH64(queue.data(), queue.size(), 0);
    hash = XXH64(workspace.data(), workspace.size(), hash);
    return XXH64(request.body.data(), request.body.size(), hash);
}

// callId differs for each attempt, so that another attempt's answer is not mistaken for this one's.
net::HttpCall makeCall(const StartCall &start, DispatchRequest &request, std::string callId,
                       TimePoint now)
{
    const auto remaining = std::max(toMilliseconds(start.deadline - now), shortestCallTimeout);
    net::HttpCall call;
    call.method = "POST";
    call.url = fmt::format("http://{}/run", start.minionAddress);
    call.headers.add(std::string(requestIdHeader), callId);
    call.headers.add("Workspace", request.workspace.value());
    call.headers.add("Queue", request.queue.value());
    // The minion ends the work after this time.
    call.headers.add("Request-Timeout-Ms", std::to_string(remaining.count()));
    call.headers.add("Request-Attempt", std::to_string(start.attempt));
    if (!request.contentType.empty()) {
        call.headers.add("Content-Type", request.contentType);
    }
    call.timeout = remaining;
    call.connectTimeout = std::min(call.connectTimeout, remaining);
    call.requiredEcho = net::HttpHeader{std::string(requestIdHeader), std::move(callId)};
    call.cancelKey = start.ticket;
    call.body = std::move(request.body);
    return call;
}

CallVerdict verdictOf(const DispatchAnswer &answer)
{
    switch (answer.outcome) {
    case Outcome::Completed:
        return answer.status >= firstServerError ? CallVerdict::Failure : CallVerdict::Success;
    case Outcome::NotRun:
        return CallVerdict::NotRun;
    case Outcome::Unknown:
        return CallVerdict::Unknown;
    }
    return CallVerdict::Unknown;
}

} // namespace

Dispatcher::Dispatcher(asio::io_context &context, net::HttpClient &http, DispatchSettings settings,
                       StartPermits permits, std::uint64_t seed)
    : m_http(http)
    , m_incarnation(seed)
    , m_scheduler(settings, std::move(permits), seed)
    , m_timer(context)
{}

template<typename Event>
void Dispatcher::dispatch(Event event)
{
    Work work;
    {
        const std::lock_guard lock(m_mutex);
        SchedulerActions actions;
        const auto now = steadyNow();
        event(now, actions);
        work = collect(std::move(actions), now);
        armTimer();
    }
    perform(std::move(work));
}

void Dispatcher::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    auto table = std::make_shared<const routing::RoutingTable>(*fleet);
    dispatch([this, &table](TimePoint now, SchedulerActions &actions) {
        m_minionAddresses.clear();
        for (const auto &worker : table->workers()) {
            m_minionAddresses.emplace(worker.id, worker.minionAddress);
        }
        m_scheduler.setTable(std::move(table), now, actions);
    });
}

void Dispatcher::setLeaving(std::set<WorkerId> leaving)
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.setLeaving(std::move(leaving));
}

void Dispatcher::setSlotShares(const std::shared_ptr<const routing::RoutingTable> &table,
                               const SlotShares &shares)
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.setSlotShares(*table, shares);
}

void Dispatcher::chargeRemote(const std::vector<RemoteUse> &uses)
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.chargeRemote(uses);
}

EntryLoad Dispatcher::load()
{
    const std::lock_guard lock(m_mutex);
    m_scheduler.dropIdleLoad(steadyNow());
    return m_scheduler.load();
}

std::shared_ptr<const routing::RoutingTable> Dispatcher::table() const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.table();
}

void Dispatcher::setKnownEntries(unsigned entries)
{
    unsigned share = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_scheduler.setKnownEntries(entries);
        share = m_scheduler.connectionShare();
    }
    m_http.setMaxConnectionsPerHost(share);
}

Ticket Dispatcher::submit(DispatchRequest request, Completion completion)
{
    const auto signature = signatureOf(request);
    Ticket ticket = 0;
    dispatch([&](TimePoint now, SchedulerActions &actions) {
        ticket = m_nextTicket++;
        const SchedulerWork work{ticket, request.queue, request.workspace, signature,
                                 request.deadline};
        m_open.emplace(ticket, OpenRequest{std::move(request), std::move(completion), {}});
        m_scheduler.submit(work, now, actions);
    });
    return ticket;
}

void Dispatcher::cancel(Ticket ticket)
{
    dispatch([this, ticket](TimePoint, SchedulerActions &actions) {
        m_scheduler.cancel(ticket, actions);
    });
}

void Dispatcher::workspaceAvailable(const WorkspaceId &workspace)
{
    dispatch([&](TimePoint now, SchedulerActions &actions) {
        m_scheduler.workspaceAvailable(workspace, now, actions);
    });
}

void Dispatcher::slotAvailable(const WorkerId &worker)
{
    dispatch([&](TimePoint now, SchedulerActions &actions) {
        m_scheduler.slotAvailable(worker, now, actions);
    });
}

unsigned Dispatcher::inFlight(const WorkerId &worker) const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.inFlight(worker);
}

std::vector<PoolDemandSample> Dispatcher::poolDemands() const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.poolDemands();
}

std::size_t Dispatcher::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.queued();
}

std::string Dispatcher::minionAddress(const WorkerId &worker) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_minionAddresses.find(worker);
    return found == m_minionAddresses.end() ? std::string() : found->second;
}

unsigned Dispatcher::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.inFlight();
}

std::size_t Dispatcher::connectionsOpen(const WorkerId &worker) const
{
    return m_http.connectionsOpen(minionAddress(worker));
}

void Dispatcher::closeIdleConnections(const WorkerId &worker)
{
    m_http.closeIdle(minionAddress(worker));
}

// Converts the scheduler's actions into work that can be done without the lock.
Dispatcher::Work Dispatcher::collect(SchedulerActions actions, TimePoint now)
{
    Work work;
    const auto answer = [&](Ticket ticket, auto makeAnswer) {
        const auto found = m_open.find(ticket);
        auto &open = found->second;
        work.answers.push_back({std::move(open.completion), makeAnswer(open)});
        m_open.erase(found);
    };
    struct Visitor
    {
        Dispatcher &self;
        Work &work;
        TimePoint now;
        decltype(answer) &answerWith;

        void operator()(const StartCall &start) const
        {
            auto &request = self.m_open.at(start.ticket).request;
            auto callId = self.callId(start.ticket, start.attempt);
            work.calls.push_back({start.ticket, makeCall(start, request, std::move(callId), now)});
        }
        void operator()(const ProbeMinion &probe) const { work.probes.push_back(probe); }
        void operator()(const AbortCall &abort) const { work.aborts.push_back(abort.ticket); }
        void operator()(const RelayAnswer &relay) const
        {
            answerWith(relay.ticket, [](OpenRequest &open) { return std::move(open.lastAnswer); });
        }
        void operator()(FailRequest &failRequest) const
        {
            answerWith(failRequest.ticket, [&failRequest](OpenRequest &) {
                DispatchAnswer errorAnswer;
                errorAnswer.outcome = failRequest.outcome;
                errorAnswer.error = std::move(failRequest.error);
                errorAnswer.retryAfter = failRequest.retryAfter;
                return errorAnswer;
            });
        }
    };
    const Visitor visitor{*this, work, now, answer};
    for (auto &action : actions) {
        std::visit(visitor, action);
    }
    return work;
}

std::string Dispatcher::callId(Ticket ticket, unsigned attempt) const
{
    return fmt::format("{:016x}-{}-{}", m_incarnation, ticket, attempt);
}

void Dispatcher::armTimer()
{
    const auto next = m_scheduler.nextTimeout();
    if (!next || (m_timerAt && *m_timerAt <= *next)) {
        return;
    }
    m_timerAt = next;
    m_timer.expires_at(std::chrono::time_point_cast<std::chrono::steady_clock::duration>(*next));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        dispatch([this](TimePoint now, SchedulerActions &actions) {
            m_timerAt.reset();
            m_scheduler.processTimers(now, actions);
        });
    });
}

void Dispatcher::perform(Work work)
{
    for (auto &call : work.calls) {
        sendCall(std::move(call));
    }
    for (const auto &probe : work.probes) {
        sendProbe(probe);
    }
    for (const auto ticket : work.aborts) {
        logEvent(silentConnection, "the call of ticket {:016x}-{}", m_incarnation, ticket);
        m_http.cancel(ticket);
    }
    for (auto &ready : work.answers) {
        ready.completion(std::move(ready.answer));
    }
}

void Dispatcher::sendCall(ReadyCall ready)
{
    m_http.send(std::move(ready.call), [this, ticket = ready.ticket](net::HttpCallResult result) {
        onCallEnded(ticket, std::move(result));
    });
}

void Dispatcher::onCallEnded(Ticket ticket, net::HttpCallResult result)
{
    auto body = std::move(result.call.body);
    const auto echo = std::move(result.call.requiredEcho);
    auto answer = classifyMinionAnswer(std::move(result), echo ? echo->value : "");
    const auto verdict = verdictOf(answer);
    dispatch([&](TimePoint now, SchedulerActions &actions) {
        const auto found = m_open.find(ticket);
        if (found == m_open.end()) {
            return;
        }
        found->second.lastAnswer = std::move(answer);
        found->second.request.body = std::move(body);
        m_scheduler.callEnded(ticket, verdict, now, actions);
    });
}

void Dispatcher::sendProbe(const ProbeMinion &probe)
{
    const auto requestId = callId(probe.ticket, probe.attempt);
    net::HttpCall call;
    call.url = fmt::format("http://{}/healthz", probe.minionAddress);
    call.headers.add(std::string(requestIdHeader), requestId);
    call.timeout = std::chrono::milliseconds(1000);
    call.freshConnection = true;
    m_http.send(std::move(call), [this, probe, requestId](const net::HttpCallResult &result) {
        const auto verdict = classifyProbe(result);
        if (verdict == ProbeVerdict::Unresponsive) {
            logEvent(minionSilent, "minion {}: {}", probe.minionAddress, result.failure);
        }
        dispatch([&](TimePoint now, SchedulerActions &actions) {
            m_scheduler.probeEnded(probe.ticket, probe.attempt, verdict, now, actions);
        });
    });
}

} // namespace cyclamenlatch::dispatch
