// The owner's work: loads jobs from the store and runs from the targets, lets the scheduling core
// decide, sends its orders to targets and stores the progress of jobs. Exists only while this entry
// is the owner. Failed calls to the store are retried; on evidence of another owner it resigns.
#pragma once

#include "control/hostservice.h"
#include "control/keywatcher.h"
#include "control/ownerrecord.h"
#include "control/ownership.h"
#include "control/platformstoreclient.h"
#include "control/records.h"
#include "control/tombstonecollector.h"
#include "control/workmeter.h"
#include "net/loophttpclient.h"
#include "platform/entrysettings.h"
#include "platform/targetcodec.h"
#include "scheduling/ownercore.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cyclamenlatch::control {

class OwnerService
{
public:
    OwnerService(asio::io_context &context, PlatformStoreClient &store, net::LoopHttpClient &http,
                 Ownership &ownership, const platform::EntrySettings &settings, Metrics &metrics);
    ~OwnerService();
    OwnerService(const OwnerService &) = delete;
    OwnerService &operator=(const OwnerService &) = delete;

    void start(const scheduling::FleetRules &rules);
    void setRules(const scheduling::FleetRules &rules);
    void setWaves(const std::map<std::uint64_t, scheduling::WavePlan> &waves)
    {
        m_hostService.setWaves(waves);
    }
    void setEvacuated(const std::set<std::string> &dataCentres);
    // To be called when the store answers again after an outage: restarts the watches at once.
    void storeRecovered();
    const scheduling::OwnerCore &core() const { return m_core; }

private:
    struct KeepAliveLoop;
    struct PendingFlush;

    // Of every call to a target and to the advice service.
    static constexpr std::chrono::milliseconds connectTimeout{500};

    // Loading from the store.
    void loadStates();
    void loadOrderedTargets();
    void applyJobItems(const std::vector<platform::StoreItem> &items,
                       platform::StoreRevision storeRevision, bool isSnapshot);
    void applyJobItem(const platform::StoreItem &item);
    void applyTargetItems(const std::vector<platform::StoreItem> &items,
                          platform::StoreRevision storeRevision, bool isSnapshot);
    void retryLater(std::function<void()> action);

    // Targets.
    void keepAliveListed(const std::string &id);
    // Starts the keep-alives of targets that came into use without being listed again.
    void keepAliveAssigned();
    void keepAlive(const std::string &id);
    void keepAliveAfter(const std::string &id, Duration delay);
    void handleKeepAliveReply(const std::string &id, const net::HttpCallResult &result,
                              std::uint64_t token, TimePoint sentAt);
    void send(const scheduling::Order &order);
    // Logs an answer that another incarnation of the target gave than the known one, and takes the
    // target out of use until its next list.
    void checkClock(const std::string &id, const net::HttpCallResult &result, TimePoint sentAt);
    template<typename Kind>
    using ReplyHandler = void (scheduling::OwnerCore::*)(const Kind &, scheduling::OrderResult,
                                                         TimePoint);
    template<typename Kind>
    void sendOrder(net::HttpCall call, const Kind &order, ReplyHandler<Kind> handler);
    void advise(const scheduling::AdviseOrder &order);
    void recordTargets();
    // Reads and writes the run times that owners have learned. They only help to decide well, so
    // that nothing waits for either.
    void loadRunTimes();
    void storeRunTimes();

    // Planning and storing.
    void schedulePlan();
    void plan();
    void tick();
    void flushIfDue();
    void sendTransaction(std::shared_ptr<PendingFlush> flush, std::vector<std::size_t> writes);
    void handleTransactionReply(const std::shared_ptr<PendingFlush> &flush,
                                std::vector<std::size_t> writes, const platform::StoreReply &reply);
    void handleRejection(const std::shared_ptr<PendingFlush> &flush,
                         const std::vector<std::size_t> &writes, const platform::StoreReply &reply);
    std::vector<std::size_t> resolveConflicts(const std::shared_ptr<PendingFlush> &flush,
                                              const std::vector<std::size_t> &writes,
                                              const platform::StoreReply &reply);
    void finishTransaction(const std::shared_ptr<PendingFlush> &flush);
    void purgeEndedJobs();
    bool isHeld() const { return m_ownership.isHeld(); }
    void logDecision(const scheduling::Decision &decision);
    void logWork();

    asio::io_context &m_context;
    PlatformStoreClient &m_store;
    net::LoopHttpClient &m_http;
    Ownership &m_ownership;
    const platform::EntrySettings &m_settings;
    Metrics &m_metrics;
    const Tenure m_tenure;
    WorkMeter m_work;
    TimePoint m_workLoggedAt{};
    scheduling::OwnerCore m_core;
    HostService m_hostService;
    KeyWatcher m_jobWatcher;
    KeyWatcher m_targetWatcher;
    TombstoneCollector m_tombstoneCollector;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_planTimer;
    bool m_isPlanScheduled = false;
    // Delay of the last tick behind its due time.
    Duration m_loopDelay{};
    std::chrono::steady_clock::duration m_planDuration{};
    bool m_areTargetsLoaded = false;
    // States read at the start; each is removed when its job is listed.
    std::unordered_map<scheduling::JobNumber, platform::StoreItem> m_states;
    std::unordered_map<std::string, std::unique_ptr<KeepAliveLoop>> m_keepAliveLoops;
    // Revision of the stored list of targets that may have orders; 0: not stored yet.
    OwnerRecord m_orderedTargets;
    OrderedTargets m_recordedTargets;
    TimePoint m_targetsRecordedAt{};
    // When run times were last stored or were to be stored, and how many runs had been added then.
    TimePoint m_runTimesStoredAt{};
    std::uint64_t m_runTimesStored = 0;
    bool m_isFlushing = false;
    TimePoint m_lastFlush{};
    // Ended jobs with the time after which their state is removed from the store.
    std::deque<std::pair<TimePoint, scheduling::JobNumber>> m_endedJobs;
    bool m_isPurging = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
