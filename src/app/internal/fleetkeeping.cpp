// Wires waves and pools to the dispatcher, the peers and the platform.
#include "app/internal/fleetkeeping.h"

#include "app/internal/waveroutes.h"
#include "app/internal/workerroutes.h"

namespace cyclamenlatch::app::detail {

namespace {

constexpr std::chrono::milliseconds hostTimeout{2000};
// Marks of workers that drain to change their pool.
constexpr const char *poolScope = "pools";

maintenance::DrainHooks hooksOf(dispatch::Dispatcher &dispatcher)
{
    maintenance::DrainHooks hooks;
    hooks.setLeaving = [&dispatcher](std::set<WorkerId> leaving) {
        dispatcher.setLeaving(std::move(leaving));
    };
    hooks.inFlight = [&dispatcher](const WorkerId &worker) { return dispatcher.inFlight(worker); };
    hooks.openConnections = [&dispatcher](const WorkerId &worker) {
        return dispatcher.connectionsOpen(worker);
    };
    hooks.closeIdleConnections = [&dispatcher](const WorkerId &worker) {
        dispatcher.closeIdleConnections(worker);
    };
    return hooks;
}

capacity::Draining drainingOf(maintenance::DrainCoordinator &drains)
{
    capacity::Draining draining;
    draining.ask = [&drains](platform::StoreRevision revision, const capacity::DrainMarks &marks) {
        maintenance::DrainPoll poll{poolScope, revision, {}};
        for (const auto &[worker, recordRevision] : marks) {
            poll.marks.push_back({worker, recordRevision});
        }
        drains.ask(poll);
    };
    draining.quiet = [&drains] { return drains.quiet(poolScope); };
    return draining;
}

capacity::DemandAnswer demandOf(const dispatch::Dispatcher &dispatcher)
{
    capacity::DemandAnswer answer;
    for (const auto &sample : dispatcher.poolDemands()) {
        answer.pools.push_back({sample.pool, sample.arrivals,
                                static_cast<std::uint32_t>(sample.queued), sample.meanSeconds});
    }
    return answer;
}

maintenance::MaintenanceSettings maintenanceSettings(const EntrySettings &settings)
{
    maintenance::MaintenanceSettings maintenance;
    maintenance.entry = settings.entry;
    maintenance.dataCentre = settings.dataCentre;
    return maintenance;
}

} // namespace

FleetKeeping::FleetKeeping(asio::io_context &context, const EntrySettings &settings,
                           platform::StoreClient &store, membership::PeerBus &peers,
                           dispatch::Dispatcher &dispatcher,
                           capacity::PoolController::FleetListener listener)
    : m_drains(peers, hooksOf(dispatcher))
    , m_waves(store)
    , m_hosts(m_http, settings.platformUrl, hostTimeout)
    , m_maintenance(context, maintenanceSettings(settings), store, m_hosts, m_drains, m_http)
    , m_pools(context, settings.entry, store, drainingOf(m_drains),
              [this, listener = std::move(listener)](
                      const std::shared_ptr<const fleet::FleetDocument> &fleet) {
                  m_waves.setFleet(fleet);
                  m_maintenance.setFleet(fleet);
                  listener(fleet);
              })
    , m_demand(
              peers, [&dispatcher] { return demandOf(dispatcher); },
              [this](const EntryId &entry, std::uint64_t incarnation,
                     capacity::DemandAnswer answer) {
                  m_pools.takeDemand(entry, incarnation, std::move(answer));
              })
{
    m_pools.setDemandAsker([this] { m_demand.ask(); });
}

void FleetKeeping::addRoutes(operatorapi::OperatorApi &api)
{
    addWaveRoutes(api, m_waves);
    addWorkerRoutes(api, m_pools);
}

void FleetKeeping::start()
{
    m_drains.subscribe();
    m_demand.subscribe();
    m_maintenance.start();
    m_pools.start();
}

void FleetKeeping::stop()
{
    m_maintenance.stop();
    m_pools.stop();
}

void FleetKeeping::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    m_pools.setFleet(std::move(fleet));
}

} // namespace cyclamenlatch::app::detail
