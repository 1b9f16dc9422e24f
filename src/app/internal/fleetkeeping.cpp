// Wires waves and pools to the dispatcher, the peers and the platform.
#include "app/internal/fleetkeeping.h"

#include "app/internal/waveroutes.h"
#include "app/internal/workerroutes.h"

#include <future>
#include <utility>

namespace cyclamenlatch::app::detail {

namespace {

constexpr std::chrono::milliseconds hostTimeout{2000};
// The store's time to record that this entry has left.
constexpr std::chrono::milliseconds leaveTimeout{2000};

maintenance::DrainHooks hooksOf(dispatch::Dispatcher &dispatcher, const JobDrains &jobs)
{
    maintenance::DrainHooks hooks;
    hooks.setLeaving = [&dispatcher, jobs](std::set<WorkerId> leaving) {
        jobs.setLeaving(leaving);
        dispatcher.setLeaving(std::move(leaving));
    };
    hooks.inFlight = [&dispatcher, jobs](const WorkerId &worker) {
        return dispatcher.inFlight(worker) + jobs.activeOn(worker);
    };
    hooks.openConnections = [&dispatcher](const WorkerId &worker) {
        return dispatcher.connectionsOpen(worker);
    };
    hooks.closeIdleConnections = [&dispatcher](const WorkerId &worker) {
        dispatcher.closeIdleConnections(worker);
    };
    return hooks;
}

maintenance::DrainPoll pollOf(store::StoreRevision revision, const capacity::DrainMarks &marks)
{
    maintenance::DrainPoll poll{maintenance::poolScope, revision, {}};
    for (const auto &[worker, recordRevision] : marks) {
        poll.marks.push_back({worker, recordRevision});
    }
    return poll;
}

capacity::Draining drainingOf(maintenance::DrainCoordinator &drains)
{
    capacity::Draining draining;
    draining.ask = [&drains](store::StoreRevision revision, const capacity::DrainMarks &marks) {
        drains.ask(pollOf(revision, marks));
    };
    draining.take = [&drains](store::StoreRevision revision, const capacity::DrainMarks &marks) {
        drains.take(pollOf(revision, marks));
    };
    draining.quiet = [&drains](const maintenance::EntryRecords &records) {
        return drains.quiet(maintenance::poolScope, records);
    };
    draining.noteRead = [&drains](store::StoreRevision revision, capacity::DrainMarks records) {
        drains.noteRead(revision, std::move(records));
    };
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

maintenance::EntryRecord recordOf(const EntrySettings &settings, const membership::PeerBus &peers)
{
    maintenance::EntryRecord record;
    record.entry = settings.entry;
    record.dataCentre = settings.dataCentre;
    record.incarnation = peers.incarnation();
    return record;
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
                           store::StoreClient &store, membership::PeerBus &peers,
                           dispatch::Dispatcher &dispatcher, const JobDrains &jobs,
                           capacity::PoolController::FleetListener listener)
    : m_drains(peers, hooksOf(dispatcher, jobs))
    , m_waves(store)
    , m_hosts(m_http, settings.platformUrl, hostTimeout)
    , m_maintenance(context, maintenanceSettings(settings), store, m_hosts, m_drains, m_http)
    , m_registrar(
              context, recordOf(settings, peers), store,
              [this](bool isRecorded) { onRecorded(isRecorded); },
              [this] { m_drains.askForMarks(); })
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
    m_pools.setMarksListener([this] { noteMarks(); });
    m_registrar.start();
}

// What is leaving is read only now: a worker that begins to leave later waits for this entry.
void FleetKeeping::onRecorded(bool isRecorded)
{
    m_maintenance.loadMarks([this] { noteMarks(); });
    m_maintenance.start();
    m_pools.start();
    if (!isRecorded) {
        open();
    }
}

void FleetKeeping::noteMarks()
{
    bool isLast = false;
    {
        const std::lock_guard lock(m_mutex);
        isLast = --m_marksMissing == 0;
    }
    if (isLast) {
        open();
    }
}

void FleetKeeping::open()
{
    std::shared_ptr<const fleet::FleetDocument> fleet;
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        fleet = std::exchange(m_waitingFleet, nullptr);
    }
    if (fleet) {
        m_pools.setFleet(std::move(fleet));
    }
}

void FleetKeeping::stop()
{
    m_registrar.stop();
    m_maintenance.stop();
    m_pools.stop();
}

void FleetKeeping::sayLeft()
{
    const auto said = std::make_shared<std::promise<void>>();
    auto done = said->get_future();
    m_registrar.leave([said] { said->set_value(); });
    done.wait_for(leaveTimeout);
}

void FleetKeeping::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_open) {
            m_waitingFleet = std::move(fleet);
            return;
        }
    }
    m_pools.setFleet(std::move(fleet));
}

std::string FleetKeeping::unreadyReason() const
{
    const std::lock_guard lock(m_mutex);
    return m_open ? "" : "it does not know yet which workers are leaving";
}

} // namespace cyclamenlatch::app::detail
