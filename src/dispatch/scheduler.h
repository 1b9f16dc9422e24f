// Decides on which worker and when each request runs, and how it ends. The scheduler does no I/O
// and reads no clock: each event carries the time, and the dispatcher carries out the actions that
// the scheduler returns. A request is in exactly one of four states: queued, backing off before a
// retry, running, or ended (and removed).
#pragma once

#include "dispatch/callverdict.h"
#include "dispatch/dispatchsettings.h"
#include "dispatch/entryload.h"
#include "dispatch/fairqueue.h"
#include "dispatch/fleetload.h"
#include "dispatch/pooldemandsample.h"
#include "dispatch/probeverdict.h"
#include "dispatch/scheduleraction.h"
#include "dispatch/schedulerwork.h"
#include "dispatch/startpermits.h"
#include "dispatch/workfaults.h"
#include "global/random.h"
#include "routing/routingtable.h"

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cyclamenlatch::dispatch {

class Scheduler
{
public:
    Scheduler(DispatchSettings settings, StartPermits permits, std::uint64_t seed);

    // Events. Each appends the actions that the dispatcher must carry out.
    void setTable(std::shared_ptr<const routing::RoutingTable> table, TimePoint now,
                  SchedulerActions &actions);
    void setLeaving(std::set<WorkerId> leaving);
    // Number of entries that may be alive; they share the connections to each minion.
    void setKnownEntries(unsigned entries);
    // Sets the slots of each minion that this entry may use. Ignored if the table is not current.
    void setSlotShares(const routing::RoutingTable &table, const SlotShares &shares);
    // Charges workspaces for the slot time that they used through other entries.
    void chargeRemote(const std::vector<RemoteUse> &uses);
    void submit(const SchedulerWork &work, TimePoint now, SchedulerActions &actions);
    // Handles a caller that disconnected: a queued request is dropped, a running one runs on.
    void cancel(Ticket ticket, SchedulerActions &actions);
    void callEnded(Ticket ticket, CallVerdict verdict, TimePoint now, SchedulerActions &actions);
    void probeEnded(Ticket ticket, unsigned attempt, ProbeVerdict verdict, TimePoint now,
                    SchedulerActions &actions);
    void workspaceAvailable(const WorkspaceId &workspace, TimePoint now, SchedulerActions &actions);
    void slotAvailable(const WorkerId &worker, TimePoint now, SchedulerActions &actions);
    void processTimers(TimePoint now, SchedulerActions &actions);

    // Queries.
    // Time at which processTimers must be called next, if no other event comes before.
    std::optional<TimePoint> nextTimeout() const;
    // Number of calls that run on a worker, or may still run there after an unknown outcome.
    unsigned inFlight(const WorkerId &worker) const;
    // The same number, summed over all workers.
    unsigned inFlight() const;
    bool isEjected(const WorkerId &worker, TimePoint now) const;
    std::size_t queued() const;
    // One sample for each pool that has received a request.
    std::vector<PoolDemandSample> poolDemands() const;
    std::size_t open() const { return m_requests.size(); }
    // Number of connections that this entry may open to one minion.
    unsigned connectionShare() const;
    const EntryLoad &load() const { return m_load; }
    // Removes the load of queues and workspaces that were idle for idleLoadRetention.
    void dropIdleLoad(TimePoint now);
    const std::shared_ptr<const routing::RoutingTable> &table() const { return m_table; }

private:
    enum class State { Queued, BackingOff, Running };
    struct WorkerState
    {
        PoolId pool;
        unsigned slots = 0;
        // Number of the slots that this entry may use; the rest belongs to the other entries.
        unsigned slotShare = std::numeric_limits<unsigned>::max();
        bool leaving = false;
        // Slots in use: calls in flight, and calls of unknown outcome for unknownSlotHold.
        unsigned outstanding = 0;
        unsigned calls = 0;
        // Calls of unknown outcome that may still run on the worker.
        unsigned mayStillRun = 0;
        // The minion's slots were all held by other entries; no slot is requested before this time.
        TimePoint slotsExhaustedUntil{};
        routing::WorkerHealth health;
    };
    struct QueueState
    {
        // Moving average of the duration of successful runs, in seconds; 0 before the first.
        double meanSeconds = 0;
        // Duration of the longest run, in seconds; decays with each successful run.
        double longestSeconds = 0;
        // Number of calls of this queue in flight.
        unsigned running = 0;
    };
    struct PoolState
    {
        FairQueue urgent;
        FairQueue normal;
        RetryBudget retries;
        // Requests submitted since this entry started.
        std::uint64_t arrivals = 0;
        // Number of calls of this pool in flight.
        unsigned running = 0;
        // Moving average of the duration of successful runs, in seconds; 0 before the first.
        double meanSeconds = 0;
        bool wakePending = false;
        // Moving average of the slot time of one run, by workspace; charged when a run starts.
        std::unordered_map<WorkspaceId, double> costSeconds;
        // Outcomes of all workers of the pool.
        routing::WorkerHealth health;
    };
    struct Request
    {
        SchedulerWork work;
        const routing::QueueRoute *route = nullptr;
        // Owns the route that `route` points to.
        std::shared_ptr<const routing::RoutingTable> table;
        State state = State::Queued;
        unsigned attempts = 0;
        // An attempt may have run, so the request can no longer end as not-run.
        bool mayHaveRun = false;
        bool callerDisconnected = false;
        std::set<WorkerId> failedOn;
        // The fields below describe the current attempt.
        WorkerId worker;
        std::string minionAddress;
        TimePoint startedAt{};
        double chargedSeconds = 0;
        // A probe reported that the minion does not run the current attempt.
        bool probedNotRunning = false;
        TimePoint wake{};
    };
    // Keeps a worker's slot in use after an unknown outcome. It ends before the work must have
    // ended: using the slot twice only slows the work down.
    struct SlotHold
    {
        WorkerId worker;
    };
    // Keeps a unit of the workspace's limit until the work must have ended.
    struct WorkspaceHold
    {
        WorkspaceId workspace;
        WorkerId worker;
    };
    using Hold = std::variant<SlotHold, WorkspaceHold>;

    // Looks up a request's route in the current table. Returns false when its queue was removed.
    bool refreshRoute(Request &request);
    PoolState &poolOf(const Request &request) { return m_pools[request.route->pool]; }
    FairQueue &fairQueueOf(const Request &request);
    void enqueue(Request &request, TimePoint now, bool front);
    void startQueued(const PoolId &pool, TimePoint now, SchedulerActions &actions);
    FairQueue::Start tryStart(Ticket ticket, TimePoint now, SchedulerActions &actions);
    // Chooses a worker and acquires one of its slots. Returns nullptr when none has a free slot.
    const routing::RoutedWorker *reserveWorker(const Request &request, TimePoint now);
    // Allows this entry at least leastSlots slots of each worker, even if its share is smaller.
    const routing::RoutedWorker *reserveWorker(const Request &request, unsigned leastSlots,
                                               TimePoint now);
    double loadOf(const WorkerState &worker, unsigned leastSlots, double poolFailureShare,
                  TimePoint now) const;
    void start(Request &request, const routing::RoutedWorker &worker, TimePoint now,
               SchedulerActions &actions);
    bool acquireWorkspace(const WorkspaceId &workspace);
    void releaseWorkspace(const WorkspaceId &workspace);
    void releaseSlot(const WorkerId &worker);
    void freeUnits(const Request &request, CallVerdict verdict, TimePoint now);
    void updateRunEstimates(const Request &request, double seconds);
    void recordCallHealth(Request &request, CallVerdict verdict, TimePoint now);
    void recordFinalHealth(const Request &request, TimePoint now);
    void recordWorkerFailure(const WorkerId &worker, TimePoint now);
    bool tryRetry(Request &request, CallVerdict verdict, TimePoint now);
    void endAfterCall(const Request &request, CallVerdict verdict, SchedulerActions &actions);
    void failRequest(const Request &request, Error error, std::chrono::seconds retryAfter,
                     SchedulerActions &actions);
    bool hasUsableWorker(const Request &request) const;
    bool refuseEarly(const Request &request, TimePoint now, SchedulerActions &actions);
    std::chrono::seconds retryDelay(const Request &request) const;
    void forget(Ticket ticket);
    LoadValue &loadOf(const SchedulerWork &work);
    void setWake(Request &request, TimePoint wake);
    // Charges a request's workspace in the fair queue and in the load that is reported to peers.
    void charge(const Request &request, double seconds);
    void wakeUp(Ticket ticket, TimePoint now, SchedulerActions &actions);
    Duration estimatedWait(const Request &request) const;
    Duration estimatedRun(const Request &request) const;
    TimePoint latestStart(const Request &request, TimePoint now) const;
    Duration probeDelay(const Request &request) const;
    bool isConnectionDead(const Request &request, ProbeVerdict verdict) const;
    void releaseHold(const Hold &hold, TimePoint now, SchedulerActions &actions);

    DispatchSettings m_settings;
    StartPermits m_permits;
    Random m_random;
    std::shared_ptr<const routing::RoutingTable> m_table;
    std::set<WorkerId> m_leaving;
    unsigned m_knownEntries = 1;
    std::unordered_map<WorkerId, WorkerState> m_workers;
    std::unordered_map<PoolId, PoolState> m_pools;
    std::unordered_map<QueueId, QueueState> m_queues;
    std::unordered_map<Ticket, Request> m_requests;
    // Invariant: the demand is the number of open requests, by queue and workspace.
    EntryLoad m_load;
    // Invariant: holds each open request once, at its wake time.
    std::set<std::pair<TimePoint, Ticket>> m_wakes;
    std::multimap<TimePoint, Hold> m_holds;
    // Times at which pools with queued requests are tried again, since a worker's load also falls
    // as time passes.
    std::set<std::pair<TimePoint, PoolId>> m_poolWakes;
    WorkFaults m_workFaults;
};

} // namespace cyclamenlatch::dispatch
