// Starts and stops the parts of an entry, and follows the fleet document in the store.
#include "app/entry.h"

#include "app/appevents.h"
#include "app/internal/joboperatorroutes.h"
#include "app/internal/limitroutes.h"
#include "app/reportroute.h"
#include "dispatch/quotapermits.h"

#include <fmt/format.h>

#include <random>
#include <thread>

namespace cyclamenlatch::app {

namespace {

constexpr std::chrono::milliseconds storeTimeout{2000};
constexpr std::chrono::milliseconds drainPollInterval{20};
// Time to return units, after the shutdown deadline of open requests.
constexpr std::chrono::milliseconds returnTime{5000};

net::HttpServerSettings callerServerSettings(const EntrySettings &settings)
{
    net::HttpServerSettings server;
    server.address = settings.callers.address;
    server.port = settings.callers.port;
    server.readTimeout = settings.callerReadTimeout;
    return server;
}

net::HttpServerSettings operatorServerSettings(const OperatorSettings &settings)
{
    net::HttpServerSettings server;
    server.address = settings.listen.address;
    server.port = settings.listen.port;
    server.tls = settings.tls;
    return server;
}

std::vector<operatorapi::OperatorKey> operatorKeys(const EntrySettings &settings)
{
    return settings.operators ? settings.operators->keys : std::vector<operatorapi::OperatorKey>();
}

store::StoreClientSettings storeSettings(const EntrySettings &settings)
{
    store::StoreClientSettings store;
    store.url = settings.platformUrl;
    store.callTimeout = storeTimeout;
    store.budget.callsPerSecond = settings.platformCallsPerSecond;
    return store;
}

quota::QuotaAgentSettings quotaSettings(const EntrySettings &settings,
                                        const membership::PeerBus &peers)
{
    quota::QuotaAgentSettings quotas;
    quotas.self = {settings.entry, peers.incarnation()};
    quotas.dataCentre = settings.dataCentre;
    quotas.longestWork = settings.longestWork;
    quotas.host = settings.host;
    // A port that the system chooses is no proof that an earlier life has ended.
    const auto port = settings.peers.self.port;
    quotas.address = port > 0 ? fmt::format("{}:{}", settings.peers.self.address, port)
                              : fmt::format("incarnation {}", peers.incarnation());
    return quotas;
}

dispatch::OutcomeServiceSettings outcomeSettings(const EntrySettings &settings)
{
    dispatch::OutcomeServiceSettings outcomes;
    outcomes.ledger.reportGrace = settings.reportGrace;
    return outcomes;
}

dispatch::DispatchSettings dispatchSettings(const EntrySettings &settings)
{
    dispatch::DispatchSettings dispatch;
    dispatch.mostEntries = settings.mostEntries;
    return dispatch;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

} // namespace

Entry::Entry(EntrySettings settings)
    : m_settings(std::move(settings))
    , m_threads(m_settings.threads)
    , m_peers(m_threads.context(), m_settings.peers)
    , m_membership(m_threads.context(), m_peers, m_settings.peers.seeds, randomSeed())
    , m_quotas(quotaSettings(m_settings, m_peers))
    , m_dispatcher(m_threads.context(), m_minionHttp, dispatchSettings(m_settings),
                   dispatch::quotaPermits(m_quotas), randomSeed())
    , m_loadExchange(m_threads.context(), m_peers, m_dispatcher)
    , m_outcomes(m_threads.context(), m_peers, outcomeSettings(m_settings))
    , m_report(m_threads.context(), m_peers)
    , m_outcomeWatch([this](const report::ObservedOutcome &outcome) { m_report.observe(outcome); })
    , m_callerApi(m_dispatcher, m_outcomes)
    , m_callerServer(m_threads.context(), callerServerSettings(m_settings),
                     [this](net::HttpRequest request, net::HttpResponder respond) {
                         if (callerapi::JobRoutes::isJobPath(request.path)) {
                             return m_jobs.routes().handle(request, std::move(respond));
                         }
                         respond = m_outcomeWatch.watch(request, std::move(respond));
                         m_callerApi.handle(std::move(request), std::move(respond));
                     })
    , m_operatorApi(operatorKeys(m_settings))
    , m_store(m_threads.context(), m_platformHttp, storeSettings(m_settings))
    , m_quotaTrader(m_threads.context(), m_peers, m_store, m_quotas, randomSeed())
    , m_limitSurvey(m_threads.context(), m_peers, m_quotas)
    , m_hosts(m_platformHttp, m_settings.platformUrl, storeTimeout)
    , m_hostWatch(m_threads.context(), m_hosts, m_quotas)
    , m_fleetKeeping(
              m_threads.context(), m_settings, m_store, m_peers, m_dispatcher,
              {[this](const std::set<WorkerId> &leaving) {
                   m_jobs.controller().setLeaving(leaving);
               },
               [this](const WorkerId &worker) { return m_jobs.controller().activeOn(worker); }},
              [this](const std::shared_ptr<const fleet::FleetDocument> &fleet) { useFleet(fleet); })
    , m_configuration(
              m_threads.context(), m_peers, m_store,
              {[this](const configuration::FleetRevision &revision) { takeFleet(revision); },
               [this](const std::vector<KeyId> &ids) { m_keyGate.addWithdrawn(ids); }})
    , m_fleetCommands(m_configuration)
    , m_jobs(m_threads.context(), m_store, m_platformHttp, m_settings.platformUrl, m_quotas,
             {m_settings.entry, m_peers.incarnation()}, m_peers)
{
    dispatch::tellAvailable(m_quotas, m_threads.context(), m_dispatcher);
    m_fleetCommands.addRoutes(m_operatorApi);
    m_keyGate.setEvidence([this] { return m_configuration.evidenceAt(); },
                          configuration::freshnessBound);
    m_callerApi.setKeyGate(&m_keyGate);
    m_jobs.routes().setKeyGate(&m_keyGate);
    m_callerApi.setUnreadyReason([this] {
        const auto reason = m_configuration.unreadyReason();
        return reason.empty() ? m_fleetKeeping.unreadyReason() : reason;
    });
    m_fleetKeeping.addRoutes(m_operatorApi);
    m_fleetKeeping.setWaveListener([this](bool underWay) { m_report.setWaveRunning(underWay); });
    detail::addLimitRoutes(m_operatorApi, m_quotas, m_limitSurvey, m_membership, m_fleetKeeping);
    detail::addJobOperatorRoutes(m_operatorApi, m_jobs.desk());
    addReportRoute(m_operatorApi, m_report, m_quotas);
    if (m_settings.operators) {
        m_operatorServer = std::make_unique<net::HttpServer>(
                m_threads.context(), operatorServerSettings(*m_settings.operators),
                [this](net::HttpRequest request, const net::HttpResponder &respond) {
                    m_operatorApi.handle(std::move(request), respond);
                });
    }
}

Result<void> Entry::start()
{
    m_jobs.subscribe();
    m_fleetKeeping.start();
    BOOST_OUTCOME_TRY(m_peers.start());
    m_outcomes.start();
    BOOST_OUTCOME_TRY(m_callerServer.start());
    if (m_operatorServer) {
        BOOST_OUTCOME_TRY(m_operatorServer->start());
    }
    logEvent(entryStarted, "{} in {} on {}:{}", m_settings.entry.value(),
             m_settings.dataCentre.value(), m_settings.callers.address, m_callerServer.port());
    m_membership.setOnChange([this](const std::vector<membership::Member> &live) {
        m_quotaTrader.setLive(live);
        // Also those that are only suspected: they may go on to use their connections.
        m_dispatcher.setKnownEntries(m_peers.peers().size() + 1);
    });
    m_dispatcher.setKnownEntries(m_peers.peers().size() + 1);
    m_membership.start();
    m_loadExchange.start();
    m_quotaTrader.start();
    m_hostWatch.start();
    m_configuration.start();
    m_jobs.start();
    m_report.start();
    return success();
}

void Entry::takeFleet(const configuration::FleetRevision &revision)
{
    m_quotaTrader.setFleet(*revision.fleet, revision.revision);
    m_fleetKeeping.setFleet(revision.fleet);
}

void Entry::useFleet(const std::shared_ptr<const fleet::FleetDocument> &fleet)
{
    m_dispatcher.setFleet(fleet);
    m_callerApi.setFleet(fleet);
    m_jobs.setFleet(fleet);
    m_report.setFleet(fleet);
    m_outcomeWatch.setFleet(fleet);
}

void Entry::stop()
{
    logEvent(entryLeaving, "{} requests in flight", m_callerApi.inFlight());
    m_stopping = true;
    m_callerApi.setLeaving();
    m_fleetKeeping.stop();
    std::this_thread::sleep_for(m_settings.drainDelay);
    m_callerApi.setRefusing();
    const auto deadline = steadyNow() + m_settings.shutdownDeadline;
    while (m_callerServer.openRequests() > 0 && steadyNow() < deadline) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    logEvent(entryStopped, "{} requests cut", m_callerServer.openRequests());
    m_outcomes.stop();
    m_loadExchange.stop();
    m_configuration.stop();
    m_jobs.stop();
    if (m_callerServer.openRequests() == 0 && m_dispatcher.inFlight() == 0) {
        m_fleetKeeping.sayLeft();
    }
    // Peers stop sending units here before the last ones are returned.
    m_membership.leave();
    m_quotaTrader.leave(steadyNow() + returnTime);
    m_quotaTrader.stop();
    m_hostWatch.stop();
    m_membership.stop();
    m_report.stop();
    m_store.stop();
    m_callerServer.stop();
    if (m_operatorServer) {
        m_operatorServer->stop();
    }
    m_peers.stop();
    m_threads.stop();
}

} // namespace cyclamenlatch::app
