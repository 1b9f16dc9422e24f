// Waves: which host next, when it is empty enough, what is known of its return.
#include "scheduling/hostplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// While hosts are on their way the list is read this often; else only for hosts that come and go.
constexpr std::chrono::milliseconds busyList{300};
constexpr std::chrono::milliseconds quietList{3000};
// What each host is wanted for is decided this often, and with each list.
constexpr std::chrono::milliseconds planInterval{90};
// A host that refused or did not answer is asked again after this.
constexpr std::chrono::milliseconds orderRetry{400};
// Part of a host's share of a wave's time that may go into emptying it.
constexpr double emptyingShare = 0.6;
constexpr std::chrono::milliseconds leastEmptying{1500};
constexpr std::chrono::milliseconds mostEmptying{6000};
// Of a wave's time, what is kept for hosts that are hard to empty.
constexpr double usableShare = 0.55;
// An upkeep that the platform does not list is over after this many times its usual time.
constexpr int lostUpkeeps = 10;
// The list may lag behind an order by this much.
constexpr std::chrono::milliseconds listLag{2000};
// Beyond the time in which holders may not take turns, for what was on its way.
constexpr std::chrono::milliseconds holderMargin{150};
// Targets that answer at all have told what they run this long after a change of owners; most have
// after some milliseconds.
constexpr std::chrono::milliseconds settleTime{1000};

} // namespace

HostPlanner::HostPlanner(HostPlannerSettings settings, OwnerCore &core, TimePoint now,
                         bool isFirstTerm, Listener listener)
    : m_settings(settings)
    , m_core(core)
    , m_listener(std::move(listener))
    , m_notBefore(isFirstTerm ? now : now + settings.holderCooldown + holderMargin)
    , m_settledAt(isFirstTerm ? now : now + settleTime)
    , m_orderTokens(settings.ordersPerSecond)
    , m_allowedAt(now)
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

// Follows a host that an accepted order has taken away, or not.
void HostPlanner::trackHostReturn(Host &host, TimePoint now)
{
    const auto &info = host.info;
    const auto away = now - *host.unavailableSince;
    const bool isUp = info.state == HostState::Up;
    if (!host.isShutdownObserved && (!isUp || info.target != host.previousTarget)) {
        host.isShutdownObserved = true;
        m_core.targetHostDown(host.previousTarget, now);
    }
    const bool isOff =
            !host.movingTo.empty() && info.pool == host.movingTo && isStandby(host.movingTo);
    const bool isBack = isUp
                        && (isOff
                            || (!info.target.empty() && info.target != host.previousTarget
                                && m_core.target(info.target) != nullptr));
    const bool wasDoneBefore = !host.isShutdownObserved && away > listLag;
    const bool isOverdue = isUp && away > m_settings.maintenanceDuration * lostUpkeeps;
    if (!isBack && !wasDoneBefore && !isOverdue) {
        return;
    }
    if (wasDoneBefore) {
        m_listener(info.name, "was done before");
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
    return isBusy ? busyList : quietList;
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
    m_orderTokens =
            std::min(m_settings.ordersPerSecond,
                     m_orderTokens + m_settings.ordersPerSecond * toSeconds(now - m_allowedAt));
    m_allowedAt = now;
    for (auto &[name, host] : m_hosts) {
        orderIfEmpty(host, now, orders);
    }
    return orders;
}

// Before that, what an earlier owner started looks like free room. Targets are listed all at once,
// but for those whose entries an outage of the store has taken: these count as busy.
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
    std::uint32_t taken = 0;
    bool isOpen = false;
    // Emptiest first; of equals those whose tasks can be spared.
    std::vector<std::pair<std::tuple<std::size_t, std::size_t, std::size_t>, Host *>> next;
    for (const auto &name : wave.plan.hosts) {
        const auto found = m_hosts.find(name);
        if (found == m_hosts.end()) {
            continue;
        }
        auto &host = found->second;
        const bool isForThis =
                host.pendingOrder && std::holds_alternative<MaintenanceOrder>(*host.pendingOrder)
                && std::get<MaintenanceOrder>(*host.pendingOrder).wave == wave.plan.number;
        // Of an earlier holder, whose last orders may not be listed yet.
        const bool isEarlier =
                !host.pendingOrder && !host.unavailableSince
                && (host.info.state == HostState::Maintenance || isInTakeoverDelay(name, now));
        const bool isDown = host.unavailableSince && host.maintenanceWave == wave.plan.number;
        taken += isForThis || isDown || isEarlier ? 1 : 0;
        if (wave.done.contains(name)) {
            continue;
        }
        isOpen = true;
        if (!isEarlier && !host.pendingOrder && !host.unavailableSince
            && host.info.state == HostState::Up) {
            const auto load = m_core.load(host.info.target);
            next.push_back({{load.nonEvictable, load.longRunning, load.runs}, &host});
        }
    }
    if (!isOpen) {
        wave.isCompleted = true;
        wave.isChanged = true;
        return;
    }
    std::sort(next.begin(), next.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second->info.name)
               < std::tie(right.first, right.second->info.name);
    });
    // Hosts on which nothing runs go first, out of pools that have no more to do than they can.
    // Others are emptied only as far as the wave is behind its time.
    const double elapsed = toSeconds(now - wave.began)
                           / std::max(0.1, usableShare * toSeconds(wave.plan.duration));
    const auto dueByNow = static_cast<std::size_t>(
            std::ceil(elapsed * static_cast<double>(wave.plan.hosts.size())));
    for (const auto &[load, host] : next) {
        if (taken >= wave.plan.maxConcurrent) {
            break;
        }
        const bool isFree = m_core.isIdle(host->info.target) && !isOverloaded(host->info.pool);
        if (isFree || wave.done.size() + taken < dueByNow) {
            ++taken;
            empty(*host, MaintenanceOrder{host->info.name, wave.plan.number}, now);
        }
    }
}

void HostPlanner::empty(Host &host, HostOrder order, TimePoint now)
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
    m_listener(host.info.name, move == nullptr
                                       ? "emptying for a wave"
                                       : "to move from " + host.info.pool + " to " + move->pool);
}

void HostPlanner::release(Host &host)
{
    host.pendingOrder.reset();
    host.isOrderInFlight = false;
    host.isOutcomeUnknown = false;
    m_core.setHostDraining(host.pendingOrderTarget, false);
}

// A host's share of the time that its wave has left, less the upkeep itself.
std::chrono::milliseconds HostPlanner::drainTimeout(const Host &host, TimePoint now) const
{
    const auto *maintenance = std::get_if<MaintenanceOrder>(&*host.pendingOrder);
    if (maintenance == nullptr) {
        return leastEmptying;
    }
    const auto wave = m_waves.find(maintenance->wave);
    if (wave == m_waves.end() || wave->second.plan.hosts.empty()) {
        return leastEmptying;
    }
    const auto &plan = wave->second.plan;
    const double hostsLeft =
            static_cast<double>(plan.hosts.size())
            - static_cast<double>(std::min(plan.hosts.size(), wave->second.done.size()));
    const double rounds = std::max(1.0, hostsLeft / std::max<double>(plan.maxConcurrent, 1));
    const auto timeLeft = toMilliseconds(wave->second.began + plan.duration - now);
    const auto perHost = std::chrono::milliseconds(static_cast<std::int64_t>(
            emptyingShare * static_cast<double>(timeLeft.count()) / rounds));
    const auto least = std::clamp<std::chrono::milliseconds>(
            timeLeft - m_settings.maintenanceDuration, {}, leastEmptying);
    return std::clamp(perHost - m_settings.maintenanceDuration, least, mostEmptying);
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
        const bool isRecent =
                host.orderedAt && now - *host.orderedAt < m_settings.holderCooldown + holderMargin;
        if (host.pendingOrder || isRecent) {
            hosts.insert(name);
            isNew = isNew || !m_recorded.contains(name);
        }
    }
    return isNew ? std::optional(std::move(hosts)) : std::nullopt;
}

void HostPlanner::orderIfEmpty(Host &host, TimePoint now, std::vector<HostOrder> &orders)
{
    if (!host.pendingOrder || host.isOrderInFlight || now < host.notBefore
        || isInTakeoverDelay(host.info.name, now) || !m_recorded.contains(host.info.name)) {
        return;
    }
    const auto load = m_core.load(host.pendingOrderTarget);
    const bool isDue = now - host.drainingSince > drainTimeout(host, now);
    const bool isBusy = load.runs > 0 && (!isDue || load.longRunning > 0);
    if ((isBusy || load.hasUnrecordedEnds) && !host.isOutcomeUnknown) {
        return;
    }
    if (m_orderTokens < 1) {
        return;
    }
    m_orderTokens -= 1;
    host.isOrderInFlight = true;
    host.orderedAt = now;
    m_listener(host.info.name, "ordered");
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
    host.notBefore = now + orderRetry;
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
        return release(host);
    case HostOrderResult::OutcomeUnknown:
        // It may be done: nothing else is ordered there until the same order is answered.
        m_listener(name, "unclear");
        return;
    default:
        m_listener(name, "refused for now");
        if (maintenance == nullptr && !host.isOutcomeUnknown) {
            release(host);
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
