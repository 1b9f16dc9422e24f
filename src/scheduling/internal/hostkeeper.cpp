// Waves: which host next, when it is empty enough, what is known of its return.
#include "scheduling/hostkeeper.h"

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

HostKeeper::HostKeeper(HostKeeperSettings settings, OwnerCore &core, TimePoint now,
                       bool isFirstTerm, Listener listener)
    : m_settings(settings)
    , m_core(core)
    , m_listener(std::move(listener))
    , m_notBefore(isFirstTerm ? now : now + settings.holderPause + holderMargin)
    , m_settledAt(isFirstTerm ? now : now + settleTime)
    , m_allowance(settings.ordersPerSecond)
    , m_allowedAt(now)
{}

void HostKeeper::setRules(const FleetRules &rules)
{
    m_rules = rules;
}

void HostKeeper::waveAsked(const WavePlan &plan, const std::set<std::string> &done,
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

void HostKeeper::hostsListed(std::vector<HostInfo> hosts, TimePoint now)
{
    m_core.hostsListed(hosts, now);
    for (auto &[name, host] : m_hosts) {
        host.isListed = false;
    }
    for (auto &info : hosts) {
        auto &host = m_hosts[info.name];
        host.info = std::move(info);
        host.isListed = true;
        if (host.awaySince) {
            takeAway(host, now);
        }
    }
    std::erase_if(m_hosts, [](const auto &item) { return !item.second.isListed; });
    m_hasList = true;
    m_isListNew = true;
    if (m_bases.empty()) {
        for (const auto &[name, host] : m_hosts) {
            ++m_bases[host.info.pool];
        }
    }
}

// Follows a host that an accepted order has taken away, or not.
void HostKeeper::takeAway(Host &host, TimePoint now)
{
    const auto &info = host.info;
    const auto away = now - *host.awaySince;
    const bool isUp = info.state == HostState::Up;
    if (!host.isEndSeen && (!isUp || info.target != host.targetBefore)) {
        host.isEndSeen = true;
        m_core.targetTakenDown(host.targetBefore, now);
    }
    const bool isOff =
            !host.movingTo.empty() && info.pool == host.movingTo && isStandby(host.movingTo);
    const bool isBack = isUp
                        && (isOff
                            || (!info.target.empty() && info.target != host.targetBefore
                                && m_core.target(info.target) != nullptr));
    const bool wasDoneBefore = !host.isEndSeen && away > listLag;
    const bool isOverdue = isUp && away > m_settings.upkeepTime * lostUpkeeps;
    if (!isBack && !wasDoneBefore && !isOverdue) {
        return;
    }
    if (wasDoneBefore) {
        m_listener(info.name, "was done before");
        m_core.setLeaving(host.targetBefore, false);
    }
    host.awaySince.reset();
    host.downFor = 0;
    host.movingTo.clear();
}

std::chrono::milliseconds HostKeeper::listInterval() const
{
    const bool isBusy = std::any_of(m_waves.begin(), m_waves.end(),
                                    [](const auto &item) { return !item.second.isCompleted; })
                        || std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto &item) {
                               return item.second.awaySince || item.second.wanted;
                           });
    return isBusy ? busyList : quietList;
}

std::vector<HostOrder> HostKeeper::plan(TimePoint now)
{
    std::vector<HostOrder> orders;
    if (!m_hasList || !isSettled(now)) {
        return orders;
    }
    if (m_isListNew || now - m_plannedAt >= planInterval) {
        m_isListNew = false;
        m_plannedAt = now;
        m_demands = m_core.demands(now);
        findDark();
        countPools();
        planWaves(now);
        planMoves(now);
    }
    m_allowance = std::min(m_settings.ordersPerSecond,
                           m_allowance + m_settings.ordersPerSecond * toSeconds(now - m_allowedAt));
    m_allowedAt = now;
    for (auto &[name, host] : m_hosts) {
        orderIfEmpty(host, now, orders);
    }
    return orders;
}

// Before that, what an earlier owner started looks like free room. Targets are listed all at once,
// but for those whose entries an outage of the store has taken: these count as busy.
bool HostKeeper::isSettled(TimePoint now)
{
    m_isSettled = m_isSettled || now >= m_settledAt || m_core.hasHeardAll();
    return m_isSettled;
}

void HostKeeper::planWaves(TimePoint now)
{
    for (auto &[number, wave] : m_waves) {
        if (!wave.isCompleted) {
            planWave(wave, now);
        }
    }
}

void HostKeeper::planWave(Wave &wave, TimePoint now)
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
        const bool isForThis = host.wanted && std::holds_alternative<UpkeepOrder>(*host.wanted)
                               && std::get<UpkeepOrder>(*host.wanted).wave == wave.plan.number;
        // Of an earlier holder, whose last orders may not be listed yet.
        const bool isEarlier = !host.wanted && !host.awaySince
                               && (host.info.state == HostState::Upkeep || isHeldBack(name, now));
        const bool isDown = host.awaySince && host.downFor == wave.plan.number;
        taken += isForThis || isDown || isEarlier ? 1 : 0;
        if (wave.done.contains(name)) {
            continue;
        }
        isOpen = true;
        if (!isEarlier && !host.wanted && !host.awaySince && host.info.state == HostState::Up) {
            const auto load = m_core.load(host.info.target);
            next.push_back({{load.needed, load.lasting, load.runs}, &host});
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
        if (taken >= wave.plan.mostAtOnce) {
            break;
        }
        const bool isFree = m_core.isIdle(host->info.target) && !isPressed(host->info.pool);
        if (isFree || wave.done.size() + taken < dueByNow) {
            ++taken;
            empty(*host, UpkeepOrder{host->info.name, wave.plan.number}, now);
        }
    }
}

void HostKeeper::empty(Host &host, HostOrder order, TimePoint now)
{
    host.wanted = std::move(order);
    host.wantedTarget = host.info.target;
    host.emptyingSince = now;
    host.notBefore = now;
    m_core.setLeaving(host.info.target, true);
    ++m_counts[host.info.pool].leaving;
    const auto *move = std::get_if<MoveOrder>(&*host.wanted);
    if (move != nullptr) {
        ++m_counts[move->pool].coming;
    }
    m_listener(host.info.name, move == nullptr
                                       ? "emptying for a wave"
                                       : "to move from " + host.info.pool + " to " + move->pool);
}

void HostKeeper::release(Host &host)
{
    host.wanted.reset();
    host.isOrdered = false;
    host.isUnclear = false;
    m_core.setLeaving(host.wantedTarget, false);
}

// A host's share of the time that its wave has left, less the upkeep itself.
std::chrono::milliseconds HostKeeper::emptyingTime(const Host &host, TimePoint now) const
{
    const auto *upkeep = std::get_if<UpkeepOrder>(&*host.wanted);
    if (upkeep == nullptr) {
        return leastEmptying;
    }
    const auto wave = m_waves.find(upkeep->wave);
    if (wave == m_waves.end() || wave->second.plan.hosts.empty()) {
        return leastEmptying;
    }
    const auto &plan = wave->second.plan;
    const double hostsLeft =
            static_cast<double>(plan.hosts.size())
            - static_cast<double>(std::min(plan.hosts.size(), wave->second.done.size()));
    const double rounds = std::max(1.0, hostsLeft / std::max<double>(plan.mostAtOnce, 1));
    const auto timeLeft = toMilliseconds(wave->second.began + plan.duration - now);
    const auto perHost = std::chrono::milliseconds(static_cast<std::int64_t>(
            emptyingShare * static_cast<double>(timeLeft.count()) / rounds));
    const auto least = std::clamp<std::chrono::milliseconds>(timeLeft - m_settings.upkeepTime, {},
                                                             leastEmptying);
    return std::clamp(perHost - m_settings.upkeepTime, least, mostEmptying);
}

bool HostKeeper::isHeldBack(const std::string &host, TimePoint now) const
{
    return now < m_notBefore && m_orderedBefore.contains(host);
}

std::optional<std::set<std::string>> HostKeeper::hostsToRecord(TimePoint now) const
{
    std::set<std::string> hosts;
    bool isNew = false;
    for (const auto &[name, host] : m_hosts) {
        const bool isRecent =
                host.orderedAt && now - *host.orderedAt < m_settings.holderPause + holderMargin;
        if (host.wanted || isRecent) {
            hosts.insert(name);
            isNew = isNew || !m_recorded.contains(name);
        }
    }
    return isNew ? std::optional(std::move(hosts)) : std::nullopt;
}

void HostKeeper::orderIfEmpty(Host &host, TimePoint now, std::vector<HostOrder> &orders)
{
    if (!host.wanted || host.isOrdered || now < host.notBefore || isHeldBack(host.info.name, now)
        || !m_recorded.contains(host.info.name)) {
        return;
    }
    const auto load = m_core.load(host.wantedTarget);
    const bool isDue = now - host.emptyingSince > emptyingTime(host, now);
    const bool isBusy = load.runs > 0 && (!isDue || load.lasting > 0);
    if ((isBusy || load.hasUnrecordedEnds) && !host.isUnclear) {
        return;
    }
    if (m_allowance < 1) {
        return;
    }
    m_allowance -= 1;
    host.isOrdered = true;
    host.orderedAt = now;
    m_listener(host.info.name, "ordered");
    orders.push_back(*host.wanted);
}

void HostKeeper::answered(const HostOrder &order, HostAnswer answer, TimePoint now)
{
    const auto &name =
            std::visit([](const auto &item) -> const std::string & { return item.host; }, order);
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        return;
    }
    auto &host = found->second;
    host.isOrdered = false;
    host.orderedAt = now;
    host.isUnclear =
            answer == HostAnswer::Unclear || (host.isUnclear && answer != HostAnswer::Accepted);
    host.notBefore = now + orderRetry;
    const auto *upkeep = std::get_if<UpkeepOrder>(&order);
    switch (answer) {
    case HostAnswer::Accepted:
        m_listener(name, upkeep != nullptr ? "down" : "moving");
        host.targetBefore = host.wantedTarget;
        host.isEndSeen = false;
        host.awaySince = now;
        host.wanted.reset();
        if (const auto *move = std::get_if<MoveOrder>(&order)) {
            host.movingTo = move->pool;
        }
        if (upkeep != nullptr) {
            host.downFor = upkeep->wave;
            auto &wave = m_waves[upkeep->wave];
            wave.done.insert(name);
            wave.isChanged = true;
        }
        return;
    case HostAnswer::NotOfWave:
    case HostAnswer::Invalid:
        m_listener(name, "refused for good");
        if (upkeep != nullptr) {
            auto &wave = m_waves[upkeep->wave];
            wave.done.insert(name);
            wave.isChanged = true;
        } else {
            m_unfit.insert({name, std::get<MoveOrder>(order).pool});
        }
        return release(host);
    case HostAnswer::Unclear:
        // It may be done: nothing else is ordered there until the same order is answered.
        m_listener(name, "unclear");
        return;
    default:
        m_listener(name, "refused for now");
        if (upkeep == nullptr && !host.isUnclear) {
            release(host);
        }
        return;
    }
}

std::optional<HostKeeper::WaveProgress> HostKeeper::changedWave()
{
    for (auto &[number, wave] : m_waves) {
        if (std::exchange(wave.isChanged, false)) {
            return WaveProgress{number, wave.done, wave.isCompleted};
        }
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::scheduling
