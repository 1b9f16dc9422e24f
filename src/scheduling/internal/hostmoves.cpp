// Moves between pools: overloaded pools get idle hosts of other pools, and calm pools return hosts
// to the pools that lent them or to the standby pool, whose hosts are off.
#include "scheduling/hostplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// Time in which a pool's backlog is to be started. It is a tenth of the time that a move takes,
// since the work that arrives during the move adds to the backlog.
constexpr double backlogSeconds = 0.15;
// A pool gets another host if it lacks more than this part of a host's cores.
constexpr double minMissingHostShare = 0.5;
// A pool is calm while it can start its backlog within calmBacklogSeconds, and returns hosts once
// it has been calm for calmBeforeReturn.
constexpr double calmBacklogSeconds = 0.1;
constexpr std::chrono::milliseconds calmBeforeReturn{1000};
// Time without runs after which a host may be lent to another pool, and after which it may be
// returned.
constexpr std::chrono::milliseconds idleBeforeLending{300};
constexpr std::chrono::milliseconds idleBeforeReturn{1000};
// A pool keeps this part of the cores that its recent peaks needed; a peak counts half after
// peakHalfLife.
constexpr double retainedPeakShare = 0.7;
constexpr std::chrono::seconds peakHalfLife{40};
// A pool goes below its calm size only after it has been observed for this long.
constexpr std::chrono::seconds minPeakObservation{90};
// Time in which the backlog of a peak is to be started.
constexpr double peakBacklogSeconds = 2;
// Hosts that every pool keeps.
constexpr std::size_t minPoolHosts = 2;
// Hosts beyond those over which long-running steps spread, since one may fail or go down for
// maintenance.
constexpr std::size_t spreadReserveHosts = 1;
// A calm pool keeps this part of its initial size; the other hosts are off until its next peak.
constexpr double calmPoolShare = 0.4;
// Demand has ended when no short job has arrived for this long: pools keep what long-running tasks
// need and idleReserveHosts. With the next job they grow to their calm size again.
constexpr std::chrono::seconds demandEndDelay{4};
constexpr std::size_t idleReserveHosts = 1;
// Hosts that may be on their way to one pool at the same time: this part of all hosts, or
// minIncomingLimit if that is more.
constexpr double maxIncomingShare = 0.67;
constexpr std::size_t minIncomingLimit = 8;
// A calm pool keeps only this part of its initial size while another pool is overloaded.
constexpr double lendingPoolShare = 0.2;
constexpr double milli = 0.001;

double coresOf(const HostInfo &host)
{
    return std::max(1.0, milli * static_cast<double>(host.capacity.processors));
}

std::size_t shareOf(std::size_t hosts, double share)
{
    return static_cast<std::size_t>(std::ceil(share * static_cast<double>(hosts)));
}

// Cores that a pool needs for its running and arriving work and to start its backlog in time.
double neededCores(const PoolDemand &demand)
{
    const double shortWork = std::max(demand.arriving, demand.used - demand.longRunning);
    return demand.longRunning + demand.longRunningWaiting + shortWork
           + demand.openWork / backlogSeconds;
}

// With fewer targets, a long-running task could not be placed.
std::size_t minTargets(const PoolDemand &demand)
{
    return std::max(minPoolHosts, demand.spread == 0 ? 0 : demand.spread + spreadReserveHosts);
}

double missingCores(const PoolDemand &demand, double incoming)
{
    return neededCores(demand) - demand.processors - incoming;
}

// Seconds until the backlog has been started on the cores that long-running tasks leave.
double backlogClearTime(const PoolDemand &demand, double incoming)
{
    const double available =
            demand.processors - demand.longRunning - demand.longRunningWaiting + incoming;
    return (demand.openWork + demand.longRunningWaiting) / std::max(available, 1.0);
}

} // namespace

bool HostPlanner::isStandby(const std::string &service) const
{
    return std::any_of(m_rules.services.begin(), m_rules.services.end(),
                       [&](const auto &rule) { return rule.name == service && rule.isStandby; });
}

// A single unreachable target has failed by itself; if most targets of a data centre are
// unreachable, the connection to the data centre is lost.
void HostPlanner::findUnreachableDataCentres()
{
    struct Count
    {
        std::size_t reachable = 0;
        std::size_t unreachable = 0;
    };
    std::map<std::string, Count> counts;
    for (const auto &[name, host] : m_hosts) {
        const auto contact = m_core.contact(host.info.target);
        auto &count = counts[host.info.dataCentre];
        count.reachable += contact == OwnerCore::Contact::Reachable ? 1 : 0;
        count.unreachable += contact == OwnerCore::Contact::Unreachable ? 1 : 0;
    }
    m_unreachableDataCentres = m_core.evacuated();
    for (const auto &[dataCentre, count] : counts) {
        if (count.unreachable > count.reachable) {
            m_unreachableDataCentres.insert(dataCentre);
        }
    }
}

// Called once for each plan; the decisions of the plan then update the counts one by one.
void HostPlanner::countPools()
{
    m_counts.clear();
    for (const auto &[name, host] : m_hosts) {
        auto &ownCounts = m_counts[host.info.pool];
        const bool isListedAsMoving = !host.unavailableSince && host.info.state == HostState::Moving
                                      && !isUnreachable(host);
        ownCounts.incoming += isListedAsMoving ? 1 : 0;
        ownCounts.present += !host.unavailableSince || host.movingTo.empty() ? 1 : 0;
        ownCounts.outgoing += host.pendingOrder ? 1 : 0;
        const auto *move =
                host.pendingOrder ? std::get_if<MoveOrder>(&*host.pendingOrder) : nullptr;
        const std::string destinationPool = host.unavailableSince ? host.movingTo
                                            : move != nullptr     ? move->pool
                                                                  : std::string{};
        if (!destinationPool.empty() && !isUnreachable(host)
            && !(isListedAsMoving && destinationPool == host.info.pool)) {
            ++m_counts[destinationPool].incoming;
        }
    }
}

HostPlanner::PoolCounts HostPlanner::countsOf(const std::string &service) const
{
    const auto found = m_counts.find(service);
    return found == m_counts.end() ? PoolCounts{} : found->second;
}

std::size_t HostPlanner::incomingHosts(const std::string &service) const
{
    return countsOf(service).incoming;
}

void HostPlanner::planMoves(TimePoint now)
{
    double cores = 1;
    for (auto &[name, host] : m_hosts) {
        cores = std::max(cores, coresOf(host.info));
        const bool isIdle = !host.pendingOrder && !host.unavailableSince
                            && host.info.state == HostState::Up && m_core.isIdle(host.info.target)
                            && !isUnreachable(host);
        if (!isIdle) {
            host.idleSince.reset();
        } else if (!host.idleSince) {
            host.idleSince = now;
        }
    }
    for (const auto &[service, demand] : m_demands) {
        updatePeak(service, demand, now);
    }
    moveHostsToOverloadedPools(cores, now);
    planReturns(now);
}

// At most twice the initial size is demanded, so that a step that is wider than the pool can become
// does not take ever more hosts.
bool HostPlanner::lacksHostsForSpread(const std::string &service, const PoolDemand &demand) const
{
    const auto counts = countsOf(service);
    const auto initialSize = m_initialPoolSizes.find(service);
    const auto maxHosts = initialSize == m_initialPoolSizes.end() ? 0 : 2 * initialSize->second;
    return demand.spread > 0
           && demand.targets + counts.incoming
                      < std::min(minTargets(demand), maxHosts) + counts.outgoing;
}

// The most overloaded pool gets the next host, one at a time; then pools below their calm size get
// hosts from standby.
void HostPlanner::moveHostsToOverloadedPools(double cores, TimePoint now)
{
    while (true) {
        const std::string *overloaded = nullptr;
        double highestLoad = 0;
        for (const auto &rule : m_rules.services) {
            const auto demand = m_demands.find(rule.name);
            if (rule.isStandby || demand == m_demands.end()) {
                continue;
            }
            const auto incoming = incomingHosts(rule.name);
            const double incomingCores = static_cast<double>(incoming) * cores;
            if (lacksHostsForSpread(rule.name, demand->second)) {
                overloaded = &rule.name;
                break;
            }
            if (missingCores(demand->second, incomingCores) <= minMissingHostShare * cores
                || incoming >= std::max(minIncomingLimit,
                                        shareOf(m_hosts.size(), maxIncomingShare))) {
                continue;
            }
            // Pools are compared by the cores that they need relative to those that they have, so
            // that a large backlog in one pool does not keep all hosts from a pool that has few.
            const double load = neededCores(demand->second)
                                / std::max(demand->second.processors + incomingCores, cores);
            if (load > highestLoad) {
                highestLoad = load;
                overloaded = &rule.name;
            }
        }
        if (overloaded == nullptr) {
            break;
        }
        auto *donor = chooseDonorHost(*overloaded, now);
        if (donor == nullptr) {
            return;
        }
        drain(*donor, MoveOrder{donor->info.name, *overloaded}, now);
    }
    if (hasDemandEnded(now)) {
        return;
    }
    for (const auto &[service, initialSize] : m_initialPoolSizes) {
        while (!isStandby(service) && isBelowCalmSize(service, initialSize)) {
            auto *donor = chooseDonorHost(service, now);
            if (donor == nullptr || !isStandby(donor->info.pool)) {
                break;
            }
            drain(*donor, MoveOrder{donor->info.name, service}, now);
        }
    }
}

std::size_t HostPlanner::hostsIn(const std::string &service) const
{
    return countsOf(service).present;
}

std::size_t HostPlanner::outgoingHosts(const std::string &service) const
{
    return countsOf(service).outgoing;
}

void HostPlanner::updatePeak(const std::string &service, const PoolDemand &demand, TimePoint now)
{
    auto [found, isNew] = m_peaks.try_emplace(service);
    auto &peak = found->second;
    if (isNew) {
        peak.since = now;
        peak.updated = now;
    }
    peak.cores *= std::exp2(-toSeconds(now - peak.updated) / toSeconds(peakHalfLife));
    peak.updated = now;
    peak.cores = std::max(peak.cores,
                          demand.used - demand.longRunning + demand.openWork / peakBacklogSeconds);
    if (missingCores(demand, 0) > 0) {
        peak.lastOverloaded = now;
    }
}

bool HostPlanner::isOverloaded(const std::string &service) const
{
    const auto demand = m_demands.find(service);
    return demand != m_demands.end() && backlogClearTime(demand->second, 0) > calmBacklogSeconds;
}

bool HostPlanner::hasDemandEnded(TimePoint now) const
{
    const auto last = m_core.lastShortJob();
    return last && now - *last > demandEndDelay;
}

bool HostPlanner::canSpare(const std::string &service, const PoolDemand &demand, std::size_t hosts,
                           double cores, TimePoint now) const
{
    const auto peak = m_peaks.find(service);
    if (peak == m_peaks.end() || demand.targets < minTargets(demand) + hosts) {
        return false;
    }
    if (hasDemandEnded(now)) {
        return demand.processors - static_cast<double>(hosts + idleReserveHosts) * cores
               >= demand.longRunning + demand.longRunningWaiting;
    }
    const auto initialSize = m_initialPoolSizes.find(service);
    if (initialSize != m_initialPoolSizes.end()
        && demand.targets >= shareOf(initialSize->second, calmPoolShare) + hosts) {
        return true;
    }
    if (now - peak->second.since < minPeakObservation) {
        return false;
    }
    return demand.processors - static_cast<double>(hosts) * cores
           >= demand.longRunning + demand.longRunningWaiting
                      + retainedPeakShare * peak->second.cores;
}

// Peaks go round the pools: the pool that had its peak last will have its next one last, and a pool
// that had none may have it at any time.
std::optional<TimePoint> HostPlanner::lendingPriority(const std::string &service,
                                                      const PoolDemand &demand, std::size_t hosts,
                                                      double cores) const
{
    const auto peak = m_peaks.find(service);
    const auto initialSize = m_initialPoolSizes.find(service);
    const auto remaining = demand.targets - std::min(demand.targets, hosts);
    const double lentCores = static_cast<double>(hosts + idleReserveHosts) * cores;
    if (peak == m_peaks.end() || initialSize == m_initialPoolSizes.end()
        || remaining < minTargets(demand) || missingCores(demand, -lentCores) > 0) {
        return std::nullopt;
    }
    if (remaining >= initialSize->second) {
        return TimePoint::max();
    }
    const bool keepsEnough = remaining >= shareOf(initialSize->second, lendingPoolShare);
    return keepsEnough ? std::optional(peak->second.lastOverloaded.value_or(TimePoint{}))
                       : std::nullopt;
}

// Standby hosts come first, then idle hosts of the pool with the highest lending priority.
HostPlanner::Host *HostPlanner::chooseDonorHost(const std::string &service, TimePoint now)
{
    Host *best = nullptr;
    auto bestSince = TimePoint::min();
    for (auto &[name, host] : m_hosts) {
        if (!host.idleSince || host.pendingOrder || host.unavailableSince
            || host.info.pool == service || isInTakeoverDelay(name, now)
            || m_rejectedMoves.contains({name, service})) {
            continue;
        }
        if (isStandby(host.info.pool)) {
            return &host;
        }
        const auto demand = m_demands.find(host.info.pool);
        if (demand == m_demands.end() || now - *host.idleSince < idleBeforeLending) {
            continue;
        }
        const auto since = lendingPriority(host.info.pool, demand->second,
                                           outgoingHosts(host.info.pool) + 1, coresOf(host.info));
        if (since && *since > bestSince) {
            best = &host;
            bestSince = *since;
        }
    }
    return best;
}

bool HostPlanner::isBelowCalmSize(const std::string &service, std::size_t initialSize) const
{
    return hostsIn(service) + incomingHosts(service) < shareOf(initialSize, calmPoolShare);
}

std::string HostPlanner::poolToReturnTo(const std::string &host) const
{
    for (const auto &[service, initialSize] : m_initialPoolSizes) {
        if (!isStandby(service) && isBelowCalmSize(service, initialSize)
            && !m_rejectedMoves.contains({host, service})) {
            return service;
        }
    }
    return {};
}

void HostPlanner::planReturns(TimePoint now)
{
    const auto standby = std::find_if(m_rules.services.begin(), m_rules.services.end(),
                                      [](const auto &rule) { return rule.isStandby; });
    if (standby == m_rules.services.end()) {
        return;
    }
    for (const auto &[service, demand] : m_demands) {
        if (isStandby(service)) {
            continue;
        }
        if (backlogClearTime(demand, 0) > calmBacklogSeconds || demand.longRunningWaiting > 0) {
            m_calmSince.erase(service);
            continue;
        }
        const auto since = m_calmSince.try_emplace(service, now).first->second;
        if (now - since < calmBeforeReturn) {
            continue;
        }
        for (auto &[name, host] : m_hosts) {
            const bool isIdle = host.idleSince && now - *host.idleSince >= idleBeforeReturn
                                && host.info.pool == service && !host.pendingOrder
                                && !isInTakeoverDelay(name, now)
                                && !m_rejectedMoves.contains({name, standby->name});
            if (!isIdle
                || !canSpare(service, demand, outgoingHosts(service) + 1, coresOf(host.info),
                             now)) {
                continue;
            }
            const auto destination = poolToReturnTo(name);
            drain(host, MoveOrder{name, destination.empty() ? standby->name : destination}, now);
        }
    }
}

} // namespace cyclamenlatch::scheduling
