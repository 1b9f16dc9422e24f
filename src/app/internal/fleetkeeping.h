// The parts of an entry that keep the fleet right over hours: waves and pools, composed with
// what they need.
#pragma once

#include "app/entrysettings.h"
#include "capacity/demandexchange.h"
#include "capacity/poolcontroller.h"
#include "dispatch/dispatcher.h"
#include "maintenance/draincoordinator.h"
#include "maintenance/entryregistrar.h"
#include "maintenance/maintenancecontroller.h"
#include "maintenance/waveoperations.h"
#include "membership/peerbus.h"
#include "net/httpclient.h"
#include "operatorapi/operatorapi.h"
#include "store/hostclient.h"
#include "store/storeclient.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace cyclamenlatch::app::detail {

// Jobs on workers that are leaving; called only after start.
struct JobDrains
{
    std::function<void(const std::set<WorkerId> &)> setLeaving;
    std::function<unsigned(const WorkerId &)> activeOn;
};

class FleetKeeping
{
public:
    // The listener gets the fleet document with each worker in the pool that it is really in.
    FleetKeeping(asio::io_context &context, const EntrySettings &settings,
                 store::StoreClient &store, membership::PeerBus &peers,
                 dispatch::Dispatcher &dispatcher, const JobDrains &jobs,
                 capacity::PoolController::FleetListener listener);

    // Call before the operator server starts.
    void addRoutes(operatorapi::OperatorApi &api);
    // Hears whether a wave is under way in the data centre that this entry leads. Set before start.
    void setWaveListener(std::function<void(bool)> listener)
    {
        m_maintenance.setWaveListener(std::move(listener));
    }
    // Call before the peer bus starts.
    void start();
    // Gives leases back.
    void stop();
    // Says that nothing of this entry is in flight and none will be. Waits for the store for a
    // short while.
    void sayLeft();
    // Takes the fleet document as it was configured. It is not passed on before this entry knows
    // which workers are leaving.
    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // Why this entry must take no requests yet; empty when it may.
    std::string unreadyReason() const;
    // Takes an operator's word; see maintenance::WaveOperations::entryGone.
    void entryGone(const maintenance::EntryLife &life, const std::string &saidBy,
                   maintenance::WaveOperations::EntryCompletion completion)
    {
        m_waves.entryGone(life, saidBy, std::move(completion));
    }

private:
    void onRecorded(bool isRecorded);
    void noteMarks();
    void open();

    mutable std::mutex m_mutex;
    // Guarded by m_mutex: whether the fleet document is passed on, what is waited for until then,
    // and the document that waits.
    bool m_open = false;
    unsigned m_marksMissing = 2;
    std::shared_ptr<const fleet::FleetDocument> m_waitingFleet;

    maintenance::DrainCoordinator m_drains;
    maintenance::WaveOperations m_waves;
    store::HostClient m_hosts;
    maintenance::MaintenanceController m_maintenance;
    maintenance::EntryRegistrar m_registrar;
    capacity::PoolController m_pools;
    capacity::DemandExchange m_demand;
    // Declared last, so that its completions end before what they use does.
    net::HttpClient m_http;
};

} // namespace cyclamenlatch::app::detail
