// Decides which hosts are drained and taken down for maintenance waves, and which are moved to
// another pool. Does no input or output: lists, answers and times are passed in, orders are
// returned.
//
// A host is drained before it is ordered down or moved: its target gets no new work, long-running
// tasks are moved away as the disruption budgets of their steps allow, and short tasks end. The
// order is sent when nothing runs there any more, or after the drain timeout when only short tasks
// are left.
#pragma once

#include "global/time.h"
#include "scheduling/fleetrules.h"
#include "scheduling/hostinfo.h"
#include "scheduling/ownercore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling {

struct HostPlannerSettings
{
    // A host that an earlier holder has ordered is not ordered by another holder within this time,
    // since the platform does not let holders alternate sooner.
    std::chrono::milliseconds holderCooldown{3000};
    std::chrono::milliseconds maintenanceDuration{2000};
    // Orders that the platform accepts from all entries together.
    double ordersPerSecond = 10;
};

class HostPlanner
{
public:
    // Called with each action on a host and its reason, for the log.
    using Listener = std::function<void(const std::string &host, const std::string &what)>;

    // core must outlive the planner. isFirstTerm: there was no earlier holder.
    HostPlanner(HostPlannerSettings settings, OwnerCore &core, TimePoint now, bool isFirstTerm,
                Listener listener);

    void setRules(const FleetRules &rules);
    // Adds a wave or updates a known one. done: hosts whose maintenance was accepted earlier;
    // elapsed: the part of the wave's duration that has passed.
    void requestWave(const WavePlan &plan, const std::set<std::string> &done, Duration elapsed,
                     TimePoint now);
    void hostsListed(std::vector<HostInfo> hosts, TimePoint now);
    // Initial size of each pool in hosts, as stored by an earlier owner.
    void setInitialPoolSizes(std::map<std::string, std::size_t> initialPoolSizes)
    {
        m_initialPoolSizes = std::move(initialPoolSizes);
    }
    // As restored, or else as counted in the first list; empty before either.
    const std::map<std::string, std::size_t> &initialPoolSizes() const
    {
        return m_initialPoolSizes;
    }
    // Time until the list of hosts is to be read again.
    std::chrono::milliseconds listInterval() const;

    // Hosts that earlier holders may have ordered recently, as stored by the last one; those that
    // it may have ordered down for maintenance are named a second time, see hostsToRecord.
    void setOrderedBefore(std::set<std::string> hosts) { m_orderedBefore = std::move(hosts); }
    // The hosts to store as ordered, if one that is about to be ordered is not stored yet. No host
    // is ordered before it is stored, so that a later holder knows which hosts it must not order
    // within the cooldown, and which orders for maintenance may still be carried out: a host with
    // such an order is named once more with a mark, which is no name of a host.
    std::optional<std::set<std::string>> hostsToRecord(TimePoint now) const;
    void hostsRecorded(std::set<std::string> hosts) { m_recorded = std::move(hosts); }

    std::vector<HostOrder> plan(TimePoint now);
    void answered(const HostOrder &order, HostOrderResult answer, TimePoint now);

    // Progress of a wave to be stored: the hosts that are done, and whether all are.
    struct WaveProgress
    {
        std::uint64_t number = 0;
        std::set<std::string> done;
        bool isCompleted = false;
    };
    // Returns a wave whose progress has changed since it was last returned, if any.
    std::optional<WaveProgress> takeChangedWave();
    // Number of hosts on their way to a service's pool, as of the last plan.
    std::size_t incomingHosts(const std::string &service) const;

private:
    struct Wave
    {
        WavePlan plan;
        std::set<std::string> done;
        bool isCompleted = false;
        bool isChanged = true;
        TimePoint began{};
    };
    struct Host
    {
        HostInfo info;
        bool isListed = false;
        // The order for which the host is drained.
        std::optional<HostOrder> pendingOrder;
        TimePoint drainingSince{};
        // The pending order has been sent and has not been answered.
        bool isOrderInFlight = false;
        // An earlier call with the pending order was not answered and may have been carried out.
        bool isOutcomeUnknown = false;
        // The pending order is not sent before this time.
        TimePoint notBefore{};
        // The host is down or moving since an order was accepted, until the platform lists it as up
        // again.
        std::optional<TimePoint> unavailableSince;
        // The host's target when the order was accepted. The host has returned only when it is
        // listed with another target.
        std::string previousTarget;
        // The list has shown that the host went down. An accepted order alone does not prove it:
        // the same order may have been carried out long before, for an earlier owner.
        bool isShutdownObserved = false;
        // The host's target when it was chosen for the pending order. If an unanswered order was
        // carried out, a later answer does not apply to the target that has started since.
        std::string pendingOrderTarget;
        // The wave for which the host is down; 0: none.
        std::uint64_t maintenanceWave = 0;
        // Nothing has run on the host since this time.
        std::optional<TimePoint> idleSince;
        // When an order for the host was last sent or answered.
        std::optional<TimePoint> orderedAt;
        // The pool to which the host is moving; empty: none.
        std::string movingTo;
    };

    // Whether the runs of all reachable targets are known.
    bool isSettled(TimePoint now);
    void trackHostReturn(Host &host, TimePoint now);
    void planWaves(TimePoint now);
    void planWave(Wave &wave, TimePoint now);
    void orderIfDrained(Host &host, TimePoint now, std::vector<HostOrder> &orders);
    void planMoves(TimePoint now);
    void planReturns(TimePoint now);
    // Whether long-running steps need more hosts to spread over than the pool has or gets.
    bool lacksHostsForSpread(const std::string &service, const PoolDemand &demand) const;
    void moveHostsToOverloadedPools(double cores, TimePoint now);
    Host *chooseDonorHost(const std::string &service, TimePoint now);
    // Priority of the pool as a lender of the given number of hosts; the latest time comes first.
    // It is the time of the pool's last peak, the earliest time if there was none, the latest time
    // if the pool keeps its initial size all the same, and empty if it cannot spare the hosts.
    std::optional<TimePoint> lendingPriority(const std::string &service, const PoolDemand &demand,
                                             std::size_t hosts, double cores) const;
    // Whether the pool has fewer hosts than it keeps when it is calm.
    bool isBelowCalmSize(const std::string &service, std::size_t initialSize) const;
    // The pool to which a calm pool returns the host, since it is below its calm size; empty: none.
    std::string poolToReturnTo(const std::string &host) const;
    bool isStandby(const std::string &service) const;
    // Whether an earlier holder may have ordered the host within the cooldown.
    bool isInTakeoverDelay(const std::string &host, TimePoint now) const;
    // Whether an earlier holder's order for maintenance may still be carried out: this holder has
    // sent the host no order, whose higher token would have the platform refuse it.
    bool isUnfenced(const std::string &name, const Host &host, TimePoint now) const;
    // Whether the pool has a backlog that it cannot start at once.
    bool isOverloaded(const std::string &service) const;
    bool hasDemandEnded(TimePoint now) const;
    struct PoolCounts
    {
        // Hosts that are listed in the pool, in any state, except those ordered elsewhere.
        std::size_t present = 0;
        // Hosts that are moving to the pool or are to be ordered there.
        std::size_t incoming = 0;
        // Hosts that are drained for a move to another pool or for a wave.
        std::size_t outgoing = 0;
    };
    void findUnreachableDataCentres();
    bool isUnreachable(const Host &host) const
    {
        return m_unreachableDataCentres.contains(host.info.dataCentre);
    }
    void countPools();
    PoolCounts countsOf(const std::string &service) const;
    std::size_t hostsIn(const std::string &service) const;
    std::size_t outgoingHosts(const std::string &service) const;
    void updatePeak(const std::string &service, const PoolDemand &demand, TimePoint now);
    // Whether the pool keeps enough for its next peak without the given number of hosts.
    bool canSpare(const std::string &service, const PoolDemand &demand, std::size_t hosts,
                  double cores, TimePoint now) const;
    void drain(Host &host, HostOrder order, TimePoint now);
    void cancelDraining(Host &host);
    std::chrono::milliseconds drainTimeout(const Host &host, TimePoint now) const;

    const HostPlannerSettings m_settings;
    OwnerCore &m_core;
    const Listener m_listener;
    // The end of the cooldown for hosts that an earlier holder has ordered.
    const TimePoint m_notBefore;
    // Planning begins when all targets were contacted, or at this time at the latest.
    const TimePoint m_settledAt;
    bool m_isSettled = false;
    // Token bucket that limits the rate of orders: the orders that may be sent now.
    double m_orderTokens;
    TimePoint m_orderTokensRefilledAt;
    std::set<std::string> m_orderedBefore;
    // Hosts that are stored as ordered.
    std::set<std::string> m_recorded;
    FleetRules m_rules;
    std::map<std::string, Host> m_hosts;
    bool m_hasList = false;
    // Moves that the platform rejected for good, by host and pool.
    std::set<std::pair<std::string, std::string>> m_rejectedMoves;
    // No plan has been made since the last list was read.
    bool m_isListNew = false;
    TimePoint m_plannedAt{};
    // As of the last plan.
    std::map<std::string, PoolDemand> m_demands;
    // Data centres that are evacuated or in which most targets are unreachable. Their hosts are not
    // ordered elsewhere, and do not count as incoming hosts of a pool.
    std::set<std::string> m_unreachableDataCentres;
    // As of the last plan, including the decisions that it has made so far.
    std::map<std::string, PoolCounts> m_counts;
    std::map<std::string, std::size_t> m_initialPoolSizes;
    // The most cores that a pool's short tasks needed recently; decays with time.
    struct Peak
    {
        double cores = 0;
        TimePoint since{};
        TimePoint updated{};
        // Empty if the pool was never overloaded.
        std::optional<TimePoint> lastOverloaded;
    };
    std::map<std::string, Peak> m_peaks;
    // Since when each calm pool has been calm, by service.
    std::map<std::string, TimePoint> m_calmSince;
    std::map<std::uint64_t, Wave> m_waves;
};

} // namespace cyclamenlatch::scheduling
