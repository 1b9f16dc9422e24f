// The owner's calls to the platform's host API: lists the hosts, sends the host planner's orders
// and stores the progress of maintenance waves. Exists only while this entry is the owner.
#pragma once

#include "control/ownerrecord.h"
#include "control/ownership.h"
#include "control/platformstoreclient.h"
#include "control/records.h"
#include "control/workmeter.h"
#include "net/loophttpclient.h"
#include "platform/entrysettings.h"
#include "platform/hostcodec.h"
#include "scheduling/hostplanner.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

class HostService
{
public:
    // onHostsChanged is called after hosts or their orders have changed, so that tasks are planned
    // again. All references must outlive this object.
    HostService(asio::io_context &context, PlatformStoreClient &store, net::LoopHttpClient &http,
                Ownership &ownership, const platform::EntrySettings &settings,
                scheduling::OwnerCore &core, WorkMeter &work, std::function<void()> onHostsChanged);
    ~HostService();
    HostService(const HostService &) = delete;
    HostService &operator=(const HostService &) = delete;

    void start();
    void setRules(const scheduling::FleetRules &rules) { m_hostPlanner.setRules(rules); }
    void setWaves(const std::map<std::uint64_t, scheduling::WavePlan> &waves);

private:
    // The progress of a wave in the store.
    struct StoredWave
    {
        StoredWave(PlatformStoreClient &store, Ownership &ownership, std::uint64_t number);

        // As this owner read it when it started; with the begin of waves that are new since.
        WaveRecord progress;
        OwnerRecord record;
    };

    void loadWaves();
    void loadInitialPoolSizes();
    void storeInitialPoolSizes();
    void loadOrderedHosts();
    void recordHosts();
    void retryLater(std::function<void()> action);
    void applyWaves();
    void tick();
    Duration listInterval() const;
    void list();
    void listPage(const std::string &page, std::vector<scheduling::HostInfo> gathered);
    void plan();
    void send(const scheduling::HostOrder &order);
    void logPools();
    StoredWave &storedWave(std::uint64_t number);
    void storeProgress();
    void writeProgress(const scheduling::HostPlanner::WaveProgress &progress);

    asio::io_context &m_context;
    PlatformStoreClient &m_store;
    net::LoopHttpClient &m_http;
    Ownership &m_ownership;
    const platform::EntrySettings &m_settings;
    const platform::HostCodec m_hostCodec;
    const scheduling::HostHolder m_holder;
    const platform::StoreRevision m_ownerRevision;
    const std::function<void()> m_onHostsChanged;
    const scheduling::OwnerCore &m_core;
    WorkMeter &m_work;
    scheduling::HostPlanner m_hostPlanner;
    asio::steady_timer m_timer;
    std::map<std::uint64_t, scheduling::WavePlan> m_waves;
    // By number; see storedWave().
    std::map<std::uint64_t, StoredWave> m_storedWaves;
    bool m_areWaveRecordsLoaded = false;
    OwnerRecord m_orderedHosts;
    bool m_isListing = false;
    TimePoint m_listedAt{};
    // Pages of the last list; each page was one read of the host API.
    int m_listPageCount = 0;
    TimePoint m_poolsLoggedAt{};
    bool m_isWritingProgress = false;
    bool m_areInitialPoolSizesStored = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
