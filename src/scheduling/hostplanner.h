// Decides which hosts are emptied and taken down for waves, and which change their pool. Pure:
// lists, answers and times come in, orders go out.
//
// A host is emptied first: its target gets no new work, lasting tasks move away as their steps can
// spare them, short tasks end. It is ordered down when nothing on it is needed any more, or when
// its time is up and no step that can't spare a task has one there.
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
    // No order for a host that an earlier holder ordered within this time: holders may not take
    // turns sooner.
    std::chrono::milliseconds holderCooldown{3000};
    std::chrono::milliseconds maintenanceDuration{2000};
    // Orders that the platform takes from all entries in a second.
    double ordersPerSecond = 10;
};

class HostPlanner
{
public:
    // Tells what is done with a host and why.
    using Listener = std::function<void(const std::string &host, const std::string &what)>;

    // isFirstTerm: there was no holder before.
    HostPlanner(HostPlannerSettings settings, OwnerCore &core, TimePoint now, bool isFirstTerm,
                Listener listener);

    void setRules(const FleetRules &rules);
    // done: hosts whose upkeep was accepted before; elapsed: of the wave's time.
    void requestWave(const WavePlan &plan, const std::set<std::string> &done, Duration elapsed,
                     TimePoint now);
    void hostsListed(std::vector<HostInfo> hosts, TimePoint now);
    // Hosts that each pool began with, as an earlier owner stored them.
    void setInitialPoolSizes(std::map<std::string, std::size_t> initialPoolSizes)
    {
        m_initialPoolSizes = std::move(initialPoolSizes);
    }
    // As the first list showed them; empty before it.
    const std::map<std::string, std::size_t> &initialPoolSizes() const
    {
        return m_initialPoolSizes;
    }
    // How soon the list is to be read again.
    std::chrono::milliseconds listInterval() const;

    // Hosts that earlier holders may have ordered lately, as the last one stored them.
    void setOrderedBefore(std::set<std::string> hosts) { m_orderedBefore = std::move(hosts); }
    // Hosts to be stored as ordered, when one that is not stored yet is wanted. No host is ordered
    // before it is stored, so that a later holder knows which ones it has to wait with.
    std::optional<std::set<std::string>> hostsToRecord(TimePoint now) const;
    void hostsRecorded(std::set<std::string> hosts) { m_recorded = std::move(hosts); }

    std::vector<HostOrder> plan(TimePoint now);
    void answered(const HostOrder &order, HostOrderResult answer, TimePoint now);

    // Waves whose record is to be stored: hosts done, and whether all are.
    struct WaveProgress
    {
        std::uint64_t number = 0;
        std::set<std::string> done;
        bool isCompleted = false;
    };
    std::optional<WaveProgress> takeChangedWave();
    // Hosts on their way to a service's pool, as of the last plan.
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
        // Being emptied for this order.
        std::optional<HostOrder> pendingOrder;
        TimePoint drainingSince{};
        // The order has been sent and not been answered.
        bool isOrderInFlight = false;
        // An order that was not answered may have been carried out.
        bool isOutcomeUnknown = false;
        TimePoint notBefore{};
        // Down or moving since an accepted order, until the platform lists it as up again.
        std::optional<TimePoint> unavailableSince;
        // Its target when the order was accepted: its end is not its return.
        std::string previousTarget;
        // The list has shown that the order took it down. An answer alone does not tell: the same
        // order may have been carried out long before, for an earlier owner.
        bool isShutdownObserved = false;
        // Its target when it was chosen for the order that is wanted. An order without an answer
        // may have been carried out: then a later answer says nothing of the target that came
        // after.
        std::string pendingOrderTarget;
        // Wave of the upkeep that it is down for.
        std::uint64_t maintenanceWave = 0;
        // Nothing has run there since.
        std::optional<TimePoint> idleSince;
        // An order was last sent or answered.
        std::optional<TimePoint> orderedAt;
        // Pool it is on its way to.
        std::string movingTo;
    };

    // Whether targets have told what they run, as far as they answer.
    bool isSettled(TimePoint now);
    void trackHostReturn(Host &host, TimePoint now);
    void planWaves(TimePoint now);
    void planWave(Wave &wave, TimePoint now);
    void orderIfEmpty(Host &host, TimePoint now, std::vector<HostOrder> &orders);
    void planMoves(TimePoint now);
    void planReturns(TimePoint now);
    bool lacksPlaces(const std::string &service, const PoolDemand &demand) const;
    void moveHostsToOverloadedPools(double cores, TimePoint now);
    Host *donorFor(const std::string &service, TimePoint now);
    // When the pool last had a peak, if it can do without so many hosts now; the earliest of times
    // if it had none, the latest if it has as many beyond those it began with.
    std::optional<TimePoint> lendsSince(const std::string &service, const PoolDemand &demand,
                                        std::size_t hosts, double cores) const;
    bool isShort(const std::string &service, std::size_t base) const;
    std::string lenderFor(const std::string &host) const;
    bool isStandby(const std::string &service) const;
    // An earlier holder may have ordered it too short a time ago.
    bool isInTakeoverDelay(const std::string &host, TimePoint now) const;
    // The pool has more waiting than it clears at once.
    bool isOverloaded(const std::string &service) const;
    bool hasDemandEnded(TimePoint now) const;
    struct PoolCounts
    {
        // That the list shows in the pool, in whatever state, but for those ordered elsewhere.
        std::size_t present = 0;
        // On their way to it, or to be ordered there.
        std::size_t incoming = 0;
        // Wanted elsewhere or for a wave.
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
    void watchPeak(const std::string &service, const PoolDemand &demand, TimePoint now);
    // Whether the pool keeps enough for its next peak without so many hosts.
    bool canSpare(const std::string &service, const PoolDemand &demand, std::size_t hosts,
                  double cores, TimePoint now) const;
    void empty(Host &host, HostOrder order, TimePoint now);
    void release(Host &host);
    std::chrono::milliseconds drainTimeout(const Host &host, TimePoint now) const;

    const HostPlannerSettings m_settings;
    OwnerCore &m_core;
    const Listener m_listener;
    // The first time at which this holder may order what an earlier one has just ordered.
    const TimePoint m_notBefore;
    // Plans begin when targets have told what they run, or at this time.
    const TimePoint m_settledAt;
    bool m_isSettled = false;
    // Orders that may be sent now.
    double m_orderTokens;
    TimePoint m_allowedAt;
    std::set<std::string> m_orderedBefore;
    // Stored as ordered.
    std::set<std::string> m_recorded;
    FleetRules m_rules;
    std::map<std::string, Host> m_hosts;
    bool m_hasList = false;
    // Host and pool that the platform would not bring together.
    std::set<std::pair<std::string, std::string>> m_rejectedMoves;
    // No plan was made since the last list.
    bool m_isListNew = false;
    TimePoint m_plannedAt{};
    // As of the last plan.
    std::map<std::string, PoolDemand> m_demands;
    // Data centres that are evacuated or in which most targets do not answer: hosts there are not
    // ordered elsewhere, and those on their way there are not waited for.
    std::set<std::string> m_unreachableDataCentres;
    // As of the last plan, with what it has decided so far.
    std::map<std::string, PoolCounts> m_counts;
    std::map<std::string, std::size_t> m_initialPoolSizes;
    // The most cores that a pool's short work needed lately.
    struct Peak
    {
        double cores = 0;
        TimePoint since{};
        TimePoint updated{};
        // Nothing before the first time.
        std::optional<TimePoint> lastOverloaded;
    };
    std::map<std::string, Peak> m_peaks;
    // Since when a pool has had nothing waiting.
    std::map<std::string, TimePoint> m_calmSince;
    std::map<std::uint64_t, Wave> m_waves;
};

} // namespace cyclamenlatch::scheduling
