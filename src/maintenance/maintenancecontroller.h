// Carries out waves on the entry that leads its data centre: plans, writes records, asks entries
// what is in flight and the platform for reboots. All state is touched on the strand only.
#pragma once

#include "fleet/fleetdocument.h"
#include "maintenance/draincoordinator.h"
#include "maintenance/hosthealth.h"
#include "maintenance/maintenancerecords.h"
#include "maintenance/maintenancesettings.h"
#include "maintenance/waveaction.h"
#include "net/httpclient.h"
#include "store/hostclient.h"
#include "store/leaderlease.h"
#include "store/storeclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace cyclamenlatch::maintenance {

class MaintenanceController
{
public:
    MaintenanceController(asio::io_context &context, MaintenanceSettings settings,
                          store::StoreClient &store, store::HostClient &hosts,
                          DrainCoordinator &drains, net::HttpClient &probes);

    // Hears whether a wave is under way in the data centre that this entry leads. Set before start;
    // runs on the strand and must not block.
    void setWaveListener(std::function<void(bool)> listener)
    {
        m_waveListener = std::move(listener);
    }
    // Takes over what is leaving from the store and then tells; tries until the store answers.
    void loadMarks(std::function<void()> loaded);
    void start();
    // Gives leadership back; what is under way goes on from the records.
    void stop();
    // Thread-safe.
    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);

private:
    using Strand = asio::strand<asio::io_context::executor_type>;
    using WaveEntry = Versioned<WaveRecord>;

    void retryMarks(std::function<void()> loaded);

    void onLeadership(bool held);
    void readRecords(unsigned reading);
    void watchRecords(unsigned reading);
    void retryRecords(unsigned reading);
    void armTick();
    void tick();
    void tellWave(bool underWay);
    bool isActive(const WaveEntry &wave) const;

    void askEntries();
    std::vector<LeavingMark> ownMarks() const;
    void noteWaits();
    void removeOld();
    void listHosts();
    void probeHosts();
    void probe(const fleet::Worker &worker);

    void planWaves();
    WaveView viewOf(const WaveEntry &wave) const;
    void perform(const store::StoreWrite &write);
    void perform(const RebootRequest &request);
    void logStep(const store::StoreWrite &write) const;

    Strand m_strand;
    const MaintenanceSettings m_settings;
    store::StoreClient &m_store;
    store::HostClient &m_hosts;
    DrainCoordinator &m_drains;
    net::HttpClient &m_probes;
    store::LeaderLease m_lease;
    asio::steady_timer m_timer;
    asio::steady_timer m_recordsTimer;
    asio::steady_timer m_marksTimer;
    bool m_stopped = false;
    std::function<void(bool)> m_waveListener;
    // What the listener was told last.
    bool m_waveUnderWay = false;
    std::shared_ptr<const fleet::FleetDocument> m_fleet;

    // Used while leading. A reading ends with the leadership that began it.
    unsigned m_reading = 0;
    MaintenanceRecords m_records;
    HostHealth m_health;
    // Keys with a write under way.
    std::set<std::string> m_writing;
    // Revisions written that the reading doesn't show yet.
    std::unordered_map<std::string, store::StoreRevision> m_written;
    std::unordered_map<std::string, TimePoint> m_rebootAsked;
    std::unordered_map<WorkerId, TimePoint> m_probed;
    TimePoint m_hostsListed;
    TimePoint m_removed;
    // Whom this leader waits for, and since when.
    std::vector<EntryId> m_awaited;
    TimePoint m_awaitedSince;
};

} // namespace cyclamenlatch::maintenance
