// The owner's calls about hosts: reads the platform's list, sends the keeper's orders, stores how
// far waves have come. Exists only while this entry owns the work.
#pragma once

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
    // planned is called when hosts have changed, so that work is planned anew.
    HostService(asio::io_context &context, PlatformStoreClient &store, net::LoopHttpClient &http,
                Ownership &ownership, const platform::EntrySettings &settings,
                scheduling::OwnerCore &core, WorkMeter &work, std::function<void()> planned);
    ~HostService();
    HostService(const HostService &) = delete;
    HostService &operator=(const HostService &) = delete;

    void start();
    void setRules(const scheduling::FleetRules &rules) { m_hostPlanner.setRules(rules); }
    void setWaves(const std::map<std::uint64_t, scheduling::WavePlan> &waves);

private:
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
    void storeProgress();
    void writeProgress(const scheduling::HostPlanner::WaveProgress &progress);

    asio::io_context &m_context;
    PlatformStoreClient &m_store;
    net::LoopHttpClient &m_http;
    Ownership &m_ownership;
    const platform::EntrySettings &m_settings;
    const platform::HostCodec m_calls;
    const scheduling::HostHolder m_holder;
    const platform::StoreRevision m_ownerRevision;
    const std::function<void()> m_onHostsChanged;
    const scheduling::OwnerCore &m_core;
    WorkMeter &m_work;
    scheduling::HostPlanner m_hostPlanner;
    asio::steady_timer m_timer;
    std::map<std::uint64_t, scheduling::WavePlan> m_waves;
    // As stored when this owner began.
    std::map<std::uint64_t, WaveRecord> m_waveRecords;
    bool m_hasStored = false;
    bool m_isListing = false;
    TimePoint m_listedAt{};
    // Readings that the last list took.
    int m_listPages = 0;
    TimePoint m_poolsLoggedAt{};
    bool m_isStoring = false;
    bool m_areInitialPoolSizesStored = false;
    bool m_isRecordingHosts = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
