// Decides which request runs where and when, and how each one ends. Pure: events come in with the
// time, actions come out; the dispatcher carries them out. A request is in exactly one of four
// states: queued, backing off before another try, running, or ended (and forgotten).
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

    // Events. Each appends what is to be done.
    void setTable(std::shared_ptr<const routing::RoutingTable> table, TimePoint now,
                  SchedulerActions &actions);
    void setLeaving(std::set<WorkerId> leaving);
    // Number of entries that may live, which share the connections to each minion.
    void setKnownEntries(unsigned entries);
    // Slots of each minion that this entry may use now. Ignored when the table is not this one.
    void setSlotShares(const routing::RoutingTable &table, const SlotShares &shares);
    // Charges workspaces for what other entries ran for them.
    void chargeRemote(const std::vector<RemoteUse> &uses);
    void submit(const SchedulerWork &work, TimePoint now, SchedulerActions &actions);
    // The caller is gone. A queued request is dropped; a running one ends as it will.
    void cancel(Ticket ticket, SchedulerActions &actions);
    void callEnded(Ticket ticket, CallVerdict verdict, TimePoint now, SchedulerActions &actions);
    void probeEnded(Ticket ticket, unsigned attempt, ProbeVerdict verdict, TimePoint now,
                    SchedulerActions &actions);
    void workspaceAvailable(const WorkspaceId &workspace, TimePoint now, SchedulerActions &actions);
    void slotAvailable(const WorkerId &worker, TimePoint now, SchedulerActions &actions);
    void processTimers(TimePoint now, SchedulerActions &actions);

    // Queries.
    // When processTimers must be called next, if nothing else happens.
    std::optional<TimePoint> nextTimeout() const;
    // Calls that run on a worker, or may still run there after an unknown outcome.
    unsigned inFlight(const WorkerId &worker) const;
    // The same over all workers.
    unsigned inFlight() const;
    bool isEjected(const WorkerId &worker, TimePoint now) const;
    std::size_t queued() const;
    // Of every pool that had a request.
    std::vector<PoolDemandSample> poolDemands() const;
    std::size_t open() const { return m_requests.size(); }
    // Connections that this entry may have to one minion.
    unsigned connectionShare() const;
    const EntryLoad &load() const { return m_load; }
    // Forgets the load of queues and workspaces that have been idle for long.
    void dropIdleLoad(TimePoint now);
    const std::shared_ptr<const routing::RoutingTable> &table() const { return m_table; }

private:
    enum class State { Queued, BackingOff, Running };
    struct WorkerState
    {
        PoolId pool;
        unsigned slots = 0;
        // Of the slots, those that this entry may use; the other entries use the rest.
        unsigned slotShare = std::numeric_limits<unsigned>::max();
        bool leaving = false;
        // Slots in use: calls in flight, and for a short while those of unknown outcome.
        unsigned outstanding = 0;
        unsigned calls = 0;
        // Calls of unknown outcome that may still run.
        unsigned mayStillRun = 0;
        // Other entries hold the minion's slots until about then.
        TimePoint slotsExhaustedUntil{};
        routing::WorkerHealth health;
    };
    struct QueueState
    {
        // Moving average of a successful run, in seconds; 0 before the first.
        double meanSeconds = 0;
        // Decaying longest run, in seconds.
        double longestSeconds = 0;
        // Calls of this queue in flight.
        unsigned running = 0;
    };
    struct PoolState
    {
        FairQueue urgent;
        FairQueue normal;
        RetryBudget retries;
        // Requests handed in since the start.
        std::uint64_t arrivals = 0;
        // Calls of this pool in flight.
        unsigned running = 0;
        // Moving average of a successful run, in seconds; 0 before the first.
        double meanSeconds = 0;
        bool wakePending = false;
        // Moving average of each workspace's slot time for one run; the cost charged at its start.
        std::unordered_map<WorkspaceId, double> costSeconds;
        // Outcomes of the pool's workers together.
        routing::WorkerHealth health;
    };
    struct Request
    {
        SchedulerWork work;
        const routing::QueueRoute *route = nullptr;
        // Keeps the route alive.
        std::shared_ptr<const routing::RoutingTable> table;
        State state = State::Queued;
        unsigned attempts = 0;
        // A try ended with an unknown outcome, so that it can't end as not-run any more.
        bool mayHaveRun = false;
        bool callerDisconnected = false;
        std::set<WorkerId> failedOn;
        // Of the current try.
        WorkerId worker;
        std::string minionAddress;
        TimePoint startedAt{};
        double chargedSeconds = 0;
        // A probe told that the minion does not run the current try.
        bool probedNotRunning = false;
        TimePoint wake{};
    };
    // The worker's slot is taken back early, since over-use there costs only time.
    struct SlotHold
    {
        WorkerId worker;
    };
    // The workspace's unit is kept until the work must have ended.
    struct WorkspaceHold
    {
        WorkspaceId workspace;
        WorkerId worker;
    };
    using Hold = std::variant<SlotHold, WorkspaceHold>;

    // Points a request at the newest table. Returns false when its queue is gone.
    bool refreshRoute(Request &request);
    PoolState &poolOf(const Request &request) { return m_pools[request.route->pool]; }
    FairQueue &fairQueueOf(const Request &request);
    void enqueue(Request &request, TimePoint now, bool front);
    void startQueued(const PoolId &pool, TimePoint now, SchedulerActions &actions);
    FairQueue::Start tryStart(Ticket ticket, TimePoint now, SchedulerActions &actions);
    // Chooses a worker and takes one of its slots.
    const routing::RoutedWorker *reserveWorker(const Request &request, TimePoint now);
    // May use at least so many slots of each worker, whatever its share.
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
    // Charges a request's workspace, here and in what peers are told.
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
    // Invariant: its demand counts the open requests by queue and workspace.
    EntryLoad m_load;
    // Invariant: one element for each open request, at its wake time.
    std::set<std::pair<TimePoint, Ticket>> m_wakes;
    std::multimap<TimePoint, Hold> m_holds;
    // Pools with queued requests are looked at again then, since load also falls with time.
    std::set<std::pair<TimePoint, PoolId>> m_poolWakes;
    WorkFaults m_workFaults;
};

} // namespace cyclamenlatch::dispatch
