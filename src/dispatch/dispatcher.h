// Carries requests to minions: the shell that feeds the scheduler with calls, answers and time.
// Lock order: m_mutex is the only lock and is never held over a call to the outside, but for the
// start permits, which must not call back.
#pragma once

#include "dispatch/dispatchanswer.h"
#include "dispatch/dispatchrequest.h"
#include "dispatch/dispatchsettings.h"
#include "dispatch/scheduler.h"
#include "dispatch/startpermits.h"
#include "fleet/fleetdocument.h"
#include "net/httpclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::dispatch {

class Dispatcher
{
public:
    using Completion = std::function<void(DispatchAnswer)>;

    // The context runs the dispatcher's timer. The seed is random over its 64 bits.
    Dispatcher(asio::io_context &context, net::HttpClient &http, DispatchSettings settings,
               StartPermits permits, std::uint64_t seed);

    // All of these are thread-safe.
    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // Workers that get nothing new, besides those whose label says so.
    void setLeaving(std::set<WorkerId> leaving);
    // Number of entries that may live, this one included; they share the connections to each
    // minion.
    void setKnownEntries(unsigned entries);
    // Slots of each minion that this entry may use, by the table that they were computed for.
    void setSlotShares(const std::shared_ptr<const routing::RoutingTable> &table,
                       const SlotShares &shares);
    // Charges workspaces for what other entries ran for them.
    void chargeRemote(const std::vector<RemoteUse> &uses);
    // Open requests and slot time used, by queue and workspace.
    EntryLoad load();
    std::shared_ptr<const routing::RoutingTable> table() const;
    // The completion runs exactly once, on the HTTP client's thread or this one. The returned
    // ticket is for cancel.
    Ticket submit(DispatchRequest request, Completion completion);
    // The caller is gone: drops the request if it has not started. Its completion still runs.
    void cancel(Ticket ticket);
    // More may be acquired of a resource that was full.
    void workspaceAvailable(const WorkspaceId &workspace);
    void slotAvailable(const WorkerId &worker);

    // Calls in flight on a worker, and those of unknown outcome that may still run there.
    unsigned inFlight(const WorkerId &worker) const;
    unsigned inFlight() const;
    // Open connections to a worker's minion.
    std::size_t connectionsOpen(const WorkerId &worker) const;
    // Closes the connections to a worker's minion that carry nothing.
    void closeIdleConnections(const WorkerId &worker);
    std::size_t queued() const;
    std::vector<PoolDemandSample> poolDemands() const;

private:
    // A request whose completion has not run.
    struct OpenRequest
    {
        DispatchRequest request;
        Completion completion;
        // What the last call brought, until the scheduler says what becomes of it.
        DispatchAnswer lastAnswer;
    };
    struct ReadyAnswer
    {
        Completion completion;
        DispatchAnswer answer;
    };
    struct ReadyCall
    {
        Ticket ticket = 0;
        net::HttpCall call;
    };
    // What is to be done once the lock is released.
    struct Work
    {
        std::vector<ReadyAnswer> answers;
        std::vector<ReadyCall> calls;
        std::vector<ProbeMinion> probes;
        std::vector<Ticket> aborts;
    };

    // Runs an event on the scheduler under the lock, then does what it asks for.
    template<typename Event>
    void dispatch(Event event);
    Work collect(SchedulerActions actions, TimePoint now);
    void armTimer();
    // Names one try of a request to its minion; unique over all entries.
    std::string callId(Ticket ticket, unsigned attempt) const;
    void perform(Work work);
    void sendCall(ReadyCall ready);
    void sendProbe(const ProbeMinion &probe);
    void onCallEnded(Ticket ticket, net::HttpCallResult result);
    std::string minionAddress(const WorkerId &worker) const;

    net::HttpClient &m_http;
    // Random, so that it differs for each start of an entry.
    const std::uint64_t m_incarnation;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex.
    Scheduler m_scheduler;
    std::unordered_map<Ticket, OpenRequest> m_open;
    Ticket m_nextTicket = 1;
    std::unordered_map<WorkerId, std::string> m_minionAddresses;
    asio::steady_timer m_timer;
    std::optional<TimePoint> m_timerAt;
};

} // namespace cyclamenlatch::dispatch
