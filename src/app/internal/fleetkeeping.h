// The parts of an entry that keep the fleet right over hours: waves and pools, composed with
// what they need.
#pragma once

#include "app/entrysettings.h"
#include "capacity/demandexchange.h"
#include "capacity/poolcontroller.h"
#include "dispatch/dispatcher.h"
#include "maintenance/draincoordinator.h"
#include "maintenance/maintenancecontroller.h"
#include "maintenance/waveoperations.h"
#include "membership/peerbus.h"
#include "net/httpclient.h"
#include "operatorapi/operatorapi.h"
#include "platform/hostclient.h"
#include "platform/storeclient.h"

#include <asio/io_context.hpp>

#include <memory>

namespace cyclamenlatch::app::detail {

class FleetKeeping
{
public:
    // The listener gets the fleet document with each worker in the pool that it is really in.
    FleetKeeping(asio::io_context &context, const EntrySettings &settings,
                 platform::StoreClient &store, membership::PeerBus &peers,
                 dispatch::Dispatcher &dispatcher,
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
    // Takes the fleet document as it was configured.
    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);

private:
    maintenance::DrainCoordinator m_drains;
    maintenance::WaveOperations m_waves;
    platform::HostClient m_hosts;
    maintenance::MaintenanceController m_maintenance;
    capacity::PoolController m_pools;
    capacity::DemandExchange m_demand;
    // Declared last, so that its completions end before what they use does.
    net::HttpClient m_http;
};

} // namespace cyclamenlatch::app::detail
