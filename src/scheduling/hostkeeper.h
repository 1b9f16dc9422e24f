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
#include <vector>

namespace cyclamenlatch::scheduling {

struct HostKeeperSettings
{
    // No order before this time after taking over: holders may not take turns sooner.
    std::chrono::milliseconds holderPause{3000};
    std::chrono::milliseconds upkeepTime{2000};
    std::chrono::milliseconds moveTime{1500};
};

class HostKeeper
{
public:
    // Tells what is done with a host and why.
    using Listener = std::function<void(const std::string &host, const std::string &what)>;

    // isFirstTerm: there was no holder before.
    HostKeeper(HostKeeperSettings settings, OwnerCore &core, TimePoint now, bool isFirstTerm,
               Listener listener);

    void setRules(const FleetRules &rules);
    // done: hosts whose upkeep was accepted before this owner.
    void waveAsked(const WavePlan &plan, const std::set<std::string> &done, bool isCompleted,
                   TimePoint now);
    void hostsListed(std::vector<HostInfo> hosts, TimePoint now);
    // How soon the list is to be read again.
    std::chrono::milliseconds listInterval() const;

    std::vector<HostOrder> plan(TimePoint now);
    void answered(const HostOrder &order, HostAnswer answer, TimePoint now);

    // Waves whose record is to be stored: hosts done, and whether all are.
    struct WaveProgress
    {
        std::uint64_t number = 0;
        std::set<std::string> done;
        bool isCompleted = false;
    };
    std::optional<WaveProgress> changedWave();

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
        std::optional<HostOrder> wanted;
        TimePoint emptyingSince{};
        // The order has been sent and not been answered.
        bool isOrdered = false;
        // An order that was not answered may have been carried out.
        bool isUnclear = false;
        TimePoint notBefore{};
        // Down or moving since an accepted order, until the platform lists it as up again.
        std::optional<TimePoint> awaySince;
        // Its target when the order was accepted: its end is not its return.
        std::string targetBefore;
        // Wave of the upkeep that it is down for.
        std::uint64_t downFor = 0;
        // Nothing has run there since.
        std::optional<TimePoint> idleSince;
    };

    void planWaves(TimePoint now);
    void planWave(Wave &wave, TimePoint now);
    void orderIfEmpty(Host &host, TimePoint now, std::vector<HostOrder> &orders);
    void planMoves(TimePoint now);
    void empty(Host &host, HostOrder order, TimePoint now);
    void release(Host &host);
    bool isFree(const Host &host) const;
    std::chrono::milliseconds emptyingTime(const Host &host) const;

    const HostKeeperSettings m_settings;
    OwnerCore &m_core;
    const Listener m_listener;
    const TimePoint m_notBefore;
    FleetRules m_rules;
    std::map<std::string, Host> m_hosts;
    bool m_hasList = false;
    std::map<std::uint64_t, Wave> m_waves;
};

} // namespace cyclamenlatch::scheduling
