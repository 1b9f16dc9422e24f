// Maintenance waves: chooses the next hosts, sends their orders once they are drained, and tracks
// their return.
#include "scheduling/hostplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// Intervals at which the list of hosts is read: while hosts are drained or on their way, and
// otherwise, when only new and removed hosts matter.
constexpr std::chrono::milliseconds busyListInterval{300};
constexpr std::chrono::milliseconds idleListInterval{3000};
// Waves and moves are planned at this interval, and after each list.
constexpr std::chrono::milliseconds planInterval{90};
// Delay before an order that was refused or not answered is sent again.
constexpr std::chrono::milliseconds orderRetryDelay{400};
// Part of a host's share of its wave's remaining time that may be spent on draining.
constexpr double drainTimeShare = 0.6;
constexpr std::chrono::milliseconds minDrainTimeout{1500};
constexpr std::chrono::milliseconds maxDrainTimeout{6000};
// Part of a wave's duration over which its hosts are planned; the rest is kept for hosts that are
// hard to drain.
constexpr double scheduledShare = 0.55;
// Maintenance that the list does not show is taken as over after this many times its usual
// duration.
constexpr int overdueFactor = 10;
// The list may be older than an order by this much.
constexpr std::chrono::milliseconds maxListLag{2000};
// Added to the holder cooldown, for orders that were still on their way.
constexpr std::chrono::milliseconds cooldownMargin{150};
// An order without an answer is carried out no later than this.
constexpr std::chrono::seconds maxOrderDelay{12};
// Follows the name of a host in the record if the order is for maintenance.
constexpr const char *maintenanceMark = " maintenance";
// Time after a change of owners in which reachable targets have reported their runs; most do so
// within some milliseconds.
constexpr std::chrono::milliseconds maxSettleTime{1000};

std::string describe(const TargetLoad &load)
{
    return std::string(load.isKnown ? "" : "its target's runs are not known, ")
           + "runs=" + std::to_string(load.runs) + " lasting=" + std::to_string(load.longRunning)
           + " unrecorded_ends=" + (load.hasUnrecordedEnds ? "yes" : "no");
}

} // namespace

HostPlanner::HostPlanner(HostPlannerSettings settings, OwnerCore &core, TimePoint now,
                         bool isFirstTerm, Listener listener)
    : m_settings(settings)
    , m_core(core)
    , m_listener(std::move(listener))
    , m_notBefore(isFirstTerm ? now : now + settings.holderCooldown + cooldownMargin)
    , m_settledAt(isFirstTerm ? now : now + maxSettleTime)
    , m_orderTokens(settings.ordersPerSecond)
    , m_orderTokensRefilledAt(now)
{}

void HostPlanner::setRules(const FleetRules &rules)
{
    m_rules = rules;
}

void HostPlanner::requestWave(const WavePlan &plan, const std::set<std::string> &done,
                              Duration elapsed, TimePoint now)
{
    auto [found, isNew] = m_waves.try_emplace(plan.number);
    auto &wave = found->second;
    wave.plan = plan;
    wave.done.insert(done.begin(), done.end());
    if (isNew) {
        wave.began = now - elapsed;
    }
}

void HostPlanner::hostsListed(std::vector<HostInfo> hosts, TimePoint now)
{
    m_core.hostsListed(hosts, now);
    for (auto &[name, host] : m_hosts) {
        host.isListed = false;
    }
    for (auto &info : hosts) {
        auto &host = m_hosts[info.name];
        if (info.state == HostState::Up && info.target.empty() && !isStandby(info.pool)) {
            // A host without a target counts as idle, so the list alone does not decide it.
            info.target = m_core.targetOn(info.name);
        }
        host.info = std::move(info);
        host.isListed = true;
        if (host.unavailableSince) {
            trackHostReturn(host, now);
        }
    }
    std::erase_if(m_hosts, [](const auto &item) { return !item.second.isListed; });
    m_hasList = true;
    m_isListNew = true;
    if (m_initialPoolSizes.empty()) {
        for (const auto &[name, host] : m_hosts) {
            ++m_initialPoolSizes[host.info.pool];
        }
    }
}

// Updates a host that is unavailable since an accepted order: whether it went down, and whether it
// has returned.
void HostPlanner::trackHostReturn(Host &host, TimePoint now)
{
    const auto &info = host.info;
    const auto unavailableFor = now - *host.unavailableSince;
    const bool isUp = info.state == HostState::Up;
    if (!host.isShutdownObserved && (!isUp || info.target != host.previousTarget)) {
        host.isShutdownObserved = true;
        m_core.targetHostDown(host.previousTarget, now);
    }
    const bool isOnStandby =
            !host.movingTo.empty() && info.pool == host.movingTo && isStandby(host.movingTo);
    const bool hasReturned = isUp
                             && (isOnStandby
                                 || (!info.target.empty() && info.target != host.previousTarget
                                     && m_core.target(info.target) != nullptr));
    const bool wasCarriedOutBefore = !host.isShutdownObserved && unavailableFor > maxListLag;
    const bool isOverdue = isUp && unavailableFor > m_settings.maintenanceDuration * overdueFactor;
    if (!hasReturned && !wasCarriedOutBefore && !isOverdue) {
        return;
    }
    if (wasCarriedOutBefore) {
        m_listener(info.name, "was done before, by an earlier call");
        m_core.setHostDraining(host.previousTarget, false);
    }
    host.unavailableSince.reset();
    host.maintenanceWave = 0;
    host.movingTo.clear();
}

std::chrono::milliseconds HostPlanner::listInterval() const
{
    const bool isBusy = std::any_of(m_waves.begin(), m_waves.end(),
                                    [](const auto &item) { return !item.second.isCompleted; })
                        || std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto &item) {
                               return item.second.unavailableSince || item.second.pendingOrder;
                           });
    return isBusy ? busyListInterval : idleListInterval;
}

std::vector<HostOrder> HostPlanner::plan(TimePoint now)
{
    std::vector<HostOrder> orders;
    if (!m_hasList || !isSettled(now)) {
        return orders;
    }
    if (m_isListNew || now - m_plannedAt >= planInterval) {
        m_isListNew = false;
        m_plannedAt = now;
        m_demands = m_core.demands(now);
        findUnreachableDataCentres();
        countPools();
        planWaves(now);
        planMoves(now);
    }
    m_orderTokens = std::min(
            m_settings.ordersPerSecond,
            m_orderTokens + m_settings.ordersPerSecond * toSeconds(now - m_orderTokensRefilledAt));
    m_orderTokensRefilledAt = now;
    for (auto &[name, host] : m_hosts) {
        orderIfDrained(host, now, orders);
    }
    return orders;
}

bool HostPlanner::isUnfenced(const std::string &name, const Host &host, TimePoint now) const
{
    return now < m_notBefore + maxOrderDelay && !host.orderedAt
           && m_orderedBefore.contains(name + maintenanceMark);
}

// Before all targets were contacted, resources used by runs of an earlier owner look free. Targets
// are listed all at once, except those whose entries were lost in an outage of the store: these
// count as busy.
bool HostPlanner::isSettled(TimePoint now)
{
    m_isSettled = m_isSettled || now >= m_settledAt || m_core.hasContactedAllTargets();
    return m_isSettled;
}

void HostPlanner::planWaves(TimePoint now)
{
    for (auto &[number, wave] : m_waves) {
        if (!wave.isCompleted) {
            planWave(wave, now);
        }
    }
}

void HostPlanner::planWave(Wave &wave, TimePoint now)
{
    // Hosts that are down or may go down, and those among them that this holder has not ordered.
    std::uint32_t active = 0;
    std::uint32_t unfenced = 0;
    bool isOpen = false;
    // Those that an earlier holder may have ordered come first. The others are sorted by load:
    // tasks that cannot be evicted, long-running tasks, all runs.
    using Rank = std::tuple<bool, std::size_t, std::size_t, std::size_t>;
    std::vector<std::pair<Rank, Host *>> candidates;
    for (const auto &name : wave.plan.hosts) {
        const auto found = m_hosts.find(name);
        if (found == m_hosts.end()) {
            continue;
        }
        auto &host = found->second;
        const bool isPendingForWave =
                host.pendingOrder && std::holds_alternative<MaintenanceOrder>(*host.pendingOrder)
                && std::get<MaintenanceOrder>(*host.pendingOrder).wave == wave.plan.number;
        // Ordered by an earlier holder, whose last orders may not be listed yet.
        const bool isOrderedByEarlierHolder =
                !host.pendingOrder && !host.unavailableSince
                && (host.info.state == HostState::Maintenance || isInTakeoverDelay(name, now));
        const bool isDown = host.unavailableSince && host.maintenanceWave == wave.plan.number;
        // It may go down at any time, so it counts as if it were.
        const bool mayGoDown = isUnfenced(name, host, now) && !wave.done.contains(name);
        active += isPendingForWave || isDown || isOrderedByEarlierHolder || mayGoDown ? 1 : 0;
        unfenced += mayGoDown && !isPendingForWave && !isDown && !isOrderedByEarlierHolder ? 1 : 0;
        if (wave.done.contains(name)) {
            continue;
        }
        isOpen = true;
        if (!isOrderedByEarlierHolder && !host.pendingOrder && !host.unavailableSince
            && host.info.state == HostState::Up) {
            const auto load = m_core.load(host.info.target, now);
            // Draining has no effect on a target that does not answer, and the host would count
            // against the wave's limit meanwhile.
            if (load.isKnown) {
                candidates.push_back(
                        {{!mayGoDown, load.nonEvictable, load.longRunning, load.runs}, &host});
            }
        }
    }
    if (!isOpen) {
        wave.isCompleted = true;
        wave.isChanged = true;
        return;
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second->info.name)
               < std::tie(right.first, right.second->info.name);
    });
    // Idle hosts of pools that are not overloaded are taken at any time; others only when the wave
    // is behind its schedule.
    const double elapsed = toSeconds(now - wave.began)
                           / std::max(0.1, scheduledShare * toSeconds(wave.plan.duration));
    const auto dueByNow = static_cast<std::size_t>(
            std::ceil(elapsed * static_cast<double>(wave.plan.hosts.size())));
    for (const auto &[rank, host] : candidates) {
        if (isUnfenced(host->info.name, *host, now)) {
            // It is counted already.
            if (active - unfenced < wave.plan.maxConcurrent) {
                --unfenced;
                drain(*host, MaintenanceOrder{host->info.name, wave.plan.number}, now);
            }
            continue;
        }
        if (active >= wave.plan.maxConcurrent) {
            break;
        }
        const bool isFree = m_core.isIdle(host->info.target) && !isOverloaded(host->info.pool);
        if (isFree || wave.done.size() + active < dueByNow) {
            ++active;
            drain(*host, MaintenanceOrder{host->info.name, wave.plan.number}, now);
        }
    }
}

void HostPlanner::drain(Host &host, HostOrder order, TimePoint now)
{
    host.pendingOrder = std::move(order);
    host.pendingOrderTarget = host.info.target;
    host.drainingSince = now;
    host.notBefore = now;
    m_core.setHostDraining(host.info.target, true);
    ++m_counts[host.info.pool].outgoing;
    const auto *move = std::get_if<MoveOrder>(&*host.pendingOrder);
    if (move != nullptr) {
        ++m_counts[move->pool].incoming;
    }
    m_listener(host.info.name, move == nullptr ? "being drained for a wave"
                                               : "being drained to move from " + host.info.pool
                                                         + " to " + move->pool);
}

void HostPlanner::cancelDraining(Host &host)
{
    host.pendingOrder.reset();
    host.isOrderInFlight = false;
    host.isOutcomeUnknown = false;
    m_core.setHostDraining(host.pendingOrderTarget, false);
}

// A part of the host's share of its wave's remaining time, less the maintenance itself.
std::chrono::milliseconds HostPlanner::drainTimeout(const Host &host, TimePoint now) const
{
    const auto *maintenance = std::get_if<MaintenanceOrder>(&*host.pendingOrder);
    if (maintenance == nullptr) {
        return minDrainTimeout;
    }
    const auto wave = m_waves.find(maintenance->wave);
    if (wave == m_waves.end() || wave->second.plan.hosts.empty()) {
        return minDrainTimeout;
    }
    const auto &plan = wave->second.plan;
    const double hostsLeft =
            static_cast<double>(plan.hosts.size())
            - static_cast<double>(std::min(plan.hosts.size(), wave->second.done.size()));
    const double rounds = std::max(1.0, hostsLeft / std::max<double>(plan.maxConcurrent, 1));
    const auto timeLeft = toMilliseconds(wave->second.began + plan.duration - now);
    const auto perHost = std::chrono::milliseconds(static_cast<std::int64_t>(
            drainTimeShare * static_cast<double>(timeLeft.count()) / rounds));
    const auto minimum = std::clamp<std::chrono::milliseconds>(
            timeLeft - m_settings.maintenanceDuration, {}, minDrainTimeout);
    return std::clamp(perHost - m_settings.maintenanceDuration, minimum, maxDrainTimeout);
}

bool HostPlanner::isInTakeoverDelay(const std::string &host, TimePoint now) const
{
    return now < m_notBefore && m_orderedBefore.contains(host);
}

std::optional<std::set<std::string>> HostPlanner::hostsToRecord(TimePoint now) const
{
    std::set<std::string> hosts;
    bool isNew = false;
    for (const auto &[name, host] : m_hosts) {
        const bool isRecent = host.orderedAt
                              && now - *host.orderedAt < m_settings.holderCooldown + cooldownMargin;
        if (host.pendingOrder || isRecent) {
            hosts.insert(name);
            isNew = isNew || !m_recorded.contains(name);
        }
        if (host.pendingOrder && std::holds_alternative<MaintenanceOrder>(*host.pendingOrder)) {
            hosts.insert(name + maintenanceMark);
            isNew = isNew || !m_recorded.contains(name + maintenanceMark);
        }
    }
    if (now < m_notBefore) {
        // The record replaces that of the earlier holder.
        hosts.insert(m_orderedBefore.begin(), m_orderedBefore.end());
    }
    for (const auto &[number, wave] : m_waves) {
        if (now >= m_notBefore + maxOrderDelay) {
            break;
        }
        for (const auto &name : wave.plan.hosts) {
            const auto host = m_hosts.find(name);
            if (host != m_hosts.end() && isUnfenced(name, host->second, now)
                && !wave.done.contains(name)) {
                hosts.insert(name + maintenanceMark);
            }
        }
    }
    return isNew ? std::optional(std::move(hosts)) : std::nullopt;
}

void HostPlanner::orderIfDrained(Host &host, TimePoint now, std::vector<HostOrder> &orders)
{
    if (!host.pendingOrder || host.isOrderInFlight || now < host.notBefore
        || isInTakeoverDelay(host.info.name, now) || !m_recorded.contains(host.info.name)) {
        return;
    }
    if (std::holds_alternative<MaintenanceOrder>(*host.pendingOrder)
        && !m_recorded.contains(host.info.name + maintenanceMark)) {
        return;
    }
    if (host.info.target != host.pendingOrderTarget && !host.isOutcomeUnknown) {
        m_listener(host.info.name, "no longer drained: its target has changed");
        return cancelDraining(host);
    }
    const auto load = m_core.load(host.pendingOrderTarget, now);
    const bool isDue = now - host.drainingSince > drainTimeout(host, now);
    const bool isBusy = load.runs > 0 && (!isDue || load.longRunning > 0);
    if ((!load.isKnown || isBusy || load.hasUnrecordedEnds) && !host.isOutcomeUnknown) {
        return;
    }
    if (m_orderTokens < 1) {
        return;
    }
    m_orderTokens -= 1;
    host.isOrderInFlight = true;
    host.orderedAt = now;
    m_listener(host.info.name, "ordered; " + describe(load));
    orders.push_back(*host.pendingOrder);
}

void HostPlanner::answered(const HostOrder &order, HostOrderResult answer, TimePoint now)
{
    const auto &name =
            std::visit([](const auto &item) -> const std::string & { return item.host; }, order);
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        return;
    }
    auto &host = found->second;
    host.isOrderInFlight = false;
    host.orderedAt = now;
    host.isOutcomeUnknown = answer == HostOrderResult::OutcomeUnknown
                            || (host.isOutcomeUnknown && answer != HostOrderResult::Accepted);
    host.notBefore = now + orderRetryDelay;
    const auto *maintenance = std::get_if<MaintenanceOrder>(&order);
    switch (answer) {
    case HostOrderResult::Accepted:
        m_listener(name, maintenance != nullptr ? "down" : "moving");
        host.previousTarget = host.pendingOrderTarget;
        host.isShutdownObserved = false;
        host.unavailableSince = now;
        host.pendingOrder.reset();
        if (const auto *move = std::get_if<MoveOrder>(&order)) {
            host.movingTo = move->pool;
        }
        if (maintenance != nullptr) {
            host.maintenanceWave = maintenance->wave;
            auto &wave = m_waves[maintenance->wave];
            wave.done.insert(name);
            wave.isChanged = true;
        }
        return;
    case HostOrderResult::NotInWave:
    case HostOrderResult::Invalid:
        m_listener(name, "refused for good");
        if (maintenance != nullptr) {
            auto &wave = m_waves[maintenance->wave];
            wave.done.insert(name);
            wave.isChanged = true;
        } else {
            m_rejectedMoves.insert({name, std::get<MoveOrder>(order).pool});
        }
        return cancelDraining(host);
    case HostOrderResult::OutcomeUnknown:
        // The order may be carried out: the same order is repeated until it is answered, and no
        // other order is sent for the host.
        m_listener(name, "unclear");
        return;
    default:
        m_listener(name, "refused for now");
        if (maintenance == nullptr && !host.isOutcomeUnknown) {
            cancelDraining(host);
        }
        return;
    }
}

std::optional<HostPlanner::WaveProgress> HostPlanner::takeChangedWave()
{
    for (auto &[number, wave] : m_waves) {
        if (std::exchange(wave.isChanged, false)) {
            return WaveProgress{number, wave.done, wave.isCompleted};
        }
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::scheduling
