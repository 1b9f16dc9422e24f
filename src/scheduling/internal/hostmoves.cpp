// Moves between pools: pools with more work than they can clear in time get idle hosts, calm pools
// give hosts back to the pool that is off.
#include "scheduling/hostplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// What waits is to begin within this time: a tenth of a move, since by the time a host comes the
// work of that time has piled up as well. 0.4, 0.25, 0.15 and 0.1 were tried (decisions.md).
constexpr double clearSeconds = 0.15;
// A host is fetched when at least this part of it is missing.
constexpr double worthMoving = 0.5;
// A pool is calm when it clears what waits within this time, and gives hosts away after having been
// calm for the other.
constexpr double calmSeconds = 0.1;
constexpr std::chrono::milliseconds calmBeforeReturn{1000};
// A host without runs for this long may go to another pool, or to the one that is off.
constexpr std::chrono::milliseconds idleBeforeLending{300};
constexpr std::chrono::milliseconds idleBeforeReturn{1000};
// A pool keeps this part of what its last peaks needed; peaks are forgotten by half in the other.
constexpr double peakKept = 0.7;
constexpr std::chrono::seconds peakHalfLife{40};
// A pool that has been watched for less time than this keeps the hosts that it began with.
constexpr std::chrono::seconds peakWatch{90};
// Work that waits during a peak is to be cleared within this time.
constexpr double peakClearSeconds = 2;
constexpr std::size_t fewestHosts = 2;
// Beyond the hosts over which lasting steps spread: one may go down for upkeep or fail.
constexpr std::size_t spreadSpare = 1;
// A calm pool keeps this part of the hosts that it began with; others are off until its turn.
constexpr double keptWhenCalm = 0.4;
// When no short job has come for this long, demand has ended: pools keep what lasting tasks need
// and idleSpare hosts. With the next job they grow to what they began with.
constexpr std::chrono::seconds demandEnd{4};
constexpr std::size_t idleSpare = 1;
// Hosts that may be on their way into one pool at the same time: a part of all, or the other.
constexpr double mostComing = 0.67;
constexpr std::size_t leastComing = 8;
// One that is calm while another has more work than it can do keeps only this part.
constexpr double keptWhenLending = 0.2;
constexpr double milli = 0.001;

double coresOf(const HostInfo &host)
{
    return std::max(1.0, milli * static_cast<double>(host.capacity.processors));
}

std::size_t partOf(std::size_t hosts, double part)
{
    return static_cast<std::size_t>(std::ceil(part * static_cast<double>(hosts)));
}

// Cores that a pool needs to serve what runs and comes and to clear what waits in time.
double neededCores(const PoolDemand &demand)
{
    const double shortWork = std::max(demand.arriving, demand.used - demand.longRunning);
    return demand.longRunning + demand.longRunningWaiting + shortWork
           + demand.openWork / clearSeconds;
}

// Fewer would leave a lasting task without a place.
std::size_t fewestTargets(const PoolDemand &demand)
{
    return std::max(fewestHosts, demand.spread == 0 ? 0 : demand.spread + spreadSpare);
}

double missingCores(const PoolDemand &demand, double incoming)
{
    return neededCores(demand) - demand.processors - incoming;
}

// Seconds until what waits has begun, with the processors that are not taken for good.
double clearTime(const PoolDemand &demand, double incoming)
{
    const double free =
            demand.processors - demand.longRunning - demand.longRunningWaiting + incoming;
    return (demand.openWork + demand.longRunningWaiting) / std::max(free, 1.0);
}

} // namespace

bool HostPlanner::isStandby(const std::string &service) const
{
    return std::any_of(m_rules.services.begin(), m_rules.services.end(),
                       [&](const auto &rule) { return rule.name == service && rule.isStandby; });
}

// One silent target is a target's fault, most of a data centre's are the way there.
void HostPlanner::findUnreachableDataCentres()
{
    struct Count
    {
        std::size_t heard = 0;
        std::size_t silent = 0;
    };
    std::map<std::string, Count> counts;
    for (const auto &[name, host] : m_hosts) {
        const auto contact = m_core.contact(host.info.target);
        auto &count = counts[host.info.dataCentre];
        count.heard += contact == OwnerCore::Contact::Reachable ? 1 : 0;
        count.silent += contact == OwnerCore::Contact::Unreachable ? 1 : 0;
    }
    m_unreachableDataCentres = m_core.evacuated();
    for (const auto &[dataCentre, count] : counts) {
        if (count.silent > count.heard) {
            m_unreachableDataCentres.insert(dataCentre);
        }
    }
}

// Once a plan, since moves are decided one by one by these.
void HostPlanner::countPools()
{
    m_counts.clear();
    for (const auto &[name, host] : m_hosts) {
        auto &own = m_counts[host.info.pool];
        const bool isListedOnItsWay = !host.unavailableSince && host.info.state == HostState::Moving
                                      && !isUnreachable(host);
        own.incoming += isListedOnItsWay ? 1 : 0;
        own.present += !host.unavailableSince || host.movingTo.empty() ? 1 : 0;
        own.outgoing += host.pendingOrder ? 1 : 0;
        const auto *move =
                host.pendingOrder ? std::get_if<MoveOrder>(&*host.pendingOrder) : nullptr;
        const std::string next = host.unavailableSince ? host.movingTo
                                 : move != nullptr     ? move->pool
                                                       : std::string{};
        if (!next.empty() && !isUnreachable(host)
            && !(isListedOnItsWay && next == host.info.pool)) {
            ++m_counts[next].incoming;
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
        watchPeak(service, demand, now);
    }
    moveHostsToOverloadedPools(cores, now);
    planReturns(now);
}

// Its lasting steps spread over more hosts than it has or gets. A step that is wider than a pool
// can become takes no more for it than twice what the pool began with.
bool HostPlanner::lacksPlaces(const std::string &service, const PoolDemand &demand) const
{
    const auto counts = countsOf(service);
    const auto base = m_initialPoolSizes.find(service);
    const auto most = base == m_initialPoolSizes.end() ? 0 : 2 * base->second;
    return demand.spread > 0
           && demand.targets + counts.incoming
                      < std::min(fewestTargets(demand), most) + counts.outgoing;
}

// The most pressed pool gets the next host, one by one; then those that lent some get theirs back.
void HostPlanner::moveHostsToOverloadedPools(double cores, TimePoint now)
{
    while (true) {
        const std::string *pressed = nullptr;
        double most = 0;
        for (const auto &rule : m_rules.services) {
            const auto demand = m_demands.find(rule.name);
            if (rule.isStandby || demand == m_demands.end()) {
                continue;
            }
            const auto incoming = incomingHosts(rule.name);
            const double comingCores = static_cast<double>(incoming) * cores;
            if (lacksPlaces(rule.name, demand->second)) {
                pressed = &rule.name;
                break;
            }
            if (missingCores(demand->second, comingCores) <= worthMoving * cores
                || incoming >= std::max(leastComing, partOf(m_hosts.size(), mostComing))) {
                continue;
            }
            // What a pool needs as a multiple of what it has, so that a large backlog in one pool
            // does not keep all hosts from a pool that has few.
            const double load = neededCores(demand->second)
                                / std::max(demand->second.processors + comingCores, cores);
            if (load > most) {
                most = load;
                pressed = &rule.name;
            }
        }
        if (pressed == nullptr) {
            break;
        }
        auto *donor = donorFor(*pressed, now);
        if (donor == nullptr) {
            return;
        }
        empty(*donor, MoveOrder{donor->info.name, *pressed}, now);
    }
    if (hasDemandEnded(now)) {
        return;
    }
    for (const auto &[service, base] : m_initialPoolSizes) {
        while (!isStandby(service) && isShort(service, base)) {
            auto *donor = donorFor(service, now);
            if (donor == nullptr || !isStandby(donor->info.pool)) {
                break;
            }
            empty(*donor, MoveOrder{donor->info.name, service}, now);
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

void HostPlanner::watchPeak(const std::string &service, const PoolDemand &demand, TimePoint now)
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
                          demand.used - demand.longRunning + demand.openWork / peakClearSeconds);
    if (missingCores(demand, 0) > 0) {
        peak.lastOverloaded = now;
    }
}

bool HostPlanner::isOverloaded(const std::string &service) const
{
    const auto demand = m_demands.find(service);
    return demand != m_demands.end() && clearTime(demand->second, 0) > calmSeconds;
}

bool HostPlanner::hasDemandEnded(TimePoint now) const
{
    const auto last = m_core.lastShortJob();
    return last && now - *last > demandEnd;
}

bool HostPlanner::canSpare(const std::string &service, const PoolDemand &demand, std::size_t hosts,
                           double cores, TimePoint now) const
{
    const auto peak = m_peaks.find(service);
    if (peak == m_peaks.end() || demand.targets < fewestTargets(demand) + hosts) {
        return false;
    }
    if (hasDemandEnded(now)) {
        return demand.processors - static_cast<double>(hosts + idleSpare) * cores
               >= demand.longRunning + demand.longRunningWaiting;
    }
    const auto base = m_initialPoolSizes.find(service);
    if (base != m_initialPoolSizes.end()
        && demand.targets >= partOf(base->second, keptWhenCalm) + hosts) {
        return true;
    }
    if (now - peak->second.since < peakWatch) {
        return false;
    }
    return demand.processors - static_cast<double>(hosts) * cores
           >= demand.longRunning + demand.longRunningWaiting + peakKept * peak->second.cores;
}

// Demand goes round: a pool that had its peak last will have its next one last, and one that had
// none may have it at any time.
std::optional<TimePoint> HostPlanner::lendsSince(const std::string &service,
                                                 const PoolDemand &demand, std::size_t hosts,
                                                 double cores) const
{
    const auto peak = m_peaks.find(service);
    const auto base = m_initialPoolSizes.find(service);
    const auto kept = demand.targets - std::min(demand.targets, hosts);
    const double taken = static_cast<double>(hosts + idleSpare) * cores;
    if (peak == m_peaks.end() || base == m_initialPoolSizes.end() || kept < fewestTargets(demand)
        || missingCores(demand, -taken) > 0) {
        return std::nullopt;
    }
    if (kept >= base->second) {
        return TimePoint::max();
    }
    const bool hasEnough = kept >= partOf(base->second, keptWhenLending);
    return hasEnough ? std::optional(peak->second.lastOverloaded.value_or(TimePoint{}))
                     : std::nullopt;
}

// Hosts that are off come at once, then idle ones of the pool that can best spare them.
HostPlanner::Host *HostPlanner::donorFor(const std::string &service, TimePoint now)
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
        const auto own = m_demands.find(host.info.pool);
        if (own == m_demands.end() || now - *host.idleSince < idleBeforeLending) {
            continue;
        }
        const auto since = lendsSince(host.info.pool, own->second,
                                      outgoingHosts(host.info.pool) + 1, coresOf(host.info));
        if (since && *since > bestSince) {
            best = &host;
            bestSince = *since;
        }
    }
    return best;
}

// It has less than it keeps when it is calm.
bool HostPlanner::isShort(const std::string &service, std::size_t base) const
{
    return hostsIn(service) + incomingHosts(service) < partOf(base, keptWhenCalm);
}

// A pool that lent more than it can spare and takes the host; empty: none.
std::string HostPlanner::lenderFor(const std::string &host) const
{
    for (const auto &[service, base] : m_initialPoolSizes) {
        if (!isStandby(service) && isShort(service, base)
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
        if (clearTime(demand, 0) > calmSeconds || demand.longRunningWaiting > 0) {
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
            const auto lender = lenderFor(name);
            empty(host, MoveOrder{name, lender.empty() ? standby->name : lender}, now);
        }
    }
}

} // namespace cyclamenlatch::scheduling
