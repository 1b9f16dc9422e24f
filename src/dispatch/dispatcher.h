// Sends requests to minions over HTTP: passes calls, answers and timeouts to the scheduler and
// carries out the actions that it returns. Locking: m_mutex is the only lock. It is not held while
// other components are called, except for the start permits, which must not call back.
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

    // The context runs the dispatcher's timer. All 64 bits of the seed must be random.
    Dispatcher(asio::io_context &context, net::HttpClient &http, DispatchSettings settings,
               StartPermits permits, std::uint64_t seed);

    // All functions below are thread-safe.
    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // Sets the workers that get no new requests, in addition to those labelled as leaving.
    void setLeaving(std::set<WorkerId> leaving);
    // Sets the number of entries that may be alive, this one included; they share the connections
    // to each minion.
    void setKnownEntries(unsigned entries);
    // Sets the slots of each minion that this entry may use. The table is the one for which the
    // shares were computed; they are ignored when it is no longer current.
    void setSlotShares(const std::shared_ptr<const routing::RoutingTable> &table,
                       const SlotShares &shares);
    // Charges workspaces for the slot time that they used through other entries.
    void chargeRemote(const std::vector<RemoteUse> &uses);
    // Returns the open requests and the used slot time, by queue and workspace.
    EntryLoad load();
    std::shared_ptr<const routing::RoutingTable> table() const;
    // The completion runs exactly once, on the thread of the event that ends the request: the HTTP
    // client's, the timer's, or a caller's. Returns the ticket to cancel the request with.
    Ticket submit(DispatchRequest request, Completion completion);
    // Drops a request whose caller disconnected if it has not started. Its completion still runs.
    void cancel(Ticket ticket);
    // Report that a workspace limit, or a minion's slots, that had no free unit may have one again.
    void workspaceAvailable(const WorkspaceId &workspace);
    void slotAvailable(const WorkerId &worker);

    // Number of calls in flight on a worker, including those of unknown outcome that may still run.
    unsigned inFlight(const WorkerId &worker) const;
    unsigned inFlight() const;
    // Number of open connections to a worker's minion.
    std::size_t connectionsOpen(const WorkerId &worker) const;
    // Closes the connections to a worker's minion on which no call is in flight.
    void closeIdleConnections(const WorkerId &worker);
    std::size_t queued() const;
    std::vector<PoolDemandSample> poolDemands() const;

private:
    // A request whose completion has not run yet.
    struct OpenRequest
    {
        DispatchRequest request;
        Completion completion;
        // Answer of the last call, kept until the scheduler relays it or retries the request.
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
    // Work to be done after m_mutex is released.
    struct Work
    {
        std::vector<ReadyAnswer> answers;
        std::vector<ReadyCall> calls;
        std::vector<ProbeMinion> probes;
        std::vector<Ticket> aborts;
    };

    // Passes an event to the scheduler under the lock, then carries out its actions without it.
    template<typename Event>
    void dispatch(Event event);
    Work collect(SchedulerActions actions, TimePoint now);
    void armTimer();
    // Identifies one attempt of a request to its minion; unique among all entries.
    std::string callId(Ticket ticket, unsigned attempt) const;
    void perform(Work work);
    void sendCall(ReadyCall ready);
    void sendProbe(const ProbeMinion &probe);
    void onCallEnded(Ticket ticket, net::HttpCallResult result);
    std::string minionAddress(const WorkerId &worker) const;

    net::HttpClient &m_http;
    // Random, so that it differs each time an entry starts.
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
