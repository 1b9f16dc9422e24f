// Starts and stops the parts of an entry, and follows the fleet document in the store.
#include "app/entry.h"

#include "app/appevents.h"
#include "dispatch/quotapermits.h"
#include "fleet/fleetyaml.h"
#include "quota/staticsplit.h"

#include <random>
#include <thread>

namespace cyclamenlatch::app {

namespace {

constexpr std::size_t maxConnectionsPerMinion = 64;
constexpr std::chrono::milliseconds storeTimeout{2000};
constexpr std::chrono::milliseconds watchWait{10000};
constexpr std::chrono::milliseconds watchRetryDelay{500};
constexpr std::chrono::milliseconds drainPollInterval{20};
constexpr const char *fleetKey = "config/fleet";

net::HttpServerSettings callerServerSettings(const EntrySettings &settings)
{
    net::HttpServerSettings server;
    server.address = settings.callers.address;
    server.port = settings.callers.port;
    return server;
}

net::HttpServerSettings operatorServerSettings(const OperatorSettings &settings)
{
    net::HttpServerSettings server;
    server.address = settings.listen.address;
    server.port = settings.listen.port;
    return server;
}

std::vector<operatorapi::OperatorKey> operatorKeys(const EntrySettings &settings)
{
    return settings.operators ? settings.operators->keys : std::vector<operatorapi::OperatorKey>();
}

platform::StoreClientSettings storeSettings(const EntrySettings &settings)
{
    platform::StoreClientSettings store;
    store.url = settings.platformUrl;
    store.callTimeout = storeTimeout;
    store.budget.callsPerSecond = settings.platformCallsPerSecond;
    return store;
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
    , m_dispatcher(m_threads.context(), m_minionHttp, dispatch::DispatchSettings{},
                   dispatch::quotaPermits(m_quotas), randomSeed())
    , m_outcomes(m_threads.context(), m_peers, dispatch::OutcomeServiceSettings{})
    , m_callerApi(m_dispatcher, m_outcomes)
    , m_callerServer(m_threads.context(), callerServerSettings(m_settings),
                     [this](net::HttpRequest request, net::HttpResponder respond) {
                         if (callerapi::JobRoutes::isJobPath(request.path)) {
                             return m_jobs.routes().handle(request, std::move(respond));
                         }
                         m_callerApi.handle(std::move(request), std::move(respond));
                     })
    , m_operatorApi(operatorKeys(m_settings))
    , m_store(m_threads.context(), m_platformHttp, storeSettings(m_settings))
    , m_watchRetry(m_threads.context())
    , m_jobs(m_threads.context(), m_store, m_platformHttp, m_settings.platformUrl, m_quotas,
             {m_settings.entry, m_peers.incarnation()})
    , m_minionHttp(maxConnectionsPerMinion)
{
    dispatch::tellAvailable(m_quotas, m_threads.context(), m_dispatcher);
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
    BOOST_OUTCOME_TRY(m_peers.start());
    m_outcomes.start();
    BOOST_OUTCOME_TRY(m_callerServer.start());
    if (m_operatorServer) {
        BOOST_OUTCOME_TRY(m_operatorServer->start());
    }
    logEvent(entryStarted, "{} in {} on {}:{}", m_settings.entry.value(),
             m_settings.dataCentre.value(), m_settings.callers.address, m_callerServer.port());
    watchFleet(0);
    m_jobs.start();
    return success();
}

void Entry::watchFleet(platform::StoreRevision after)
{
    if (m_stopping) {
        return;
    }
    m_store.watch(fleetKey, after, watchWait,
                  [this, after](Result<platform::StoreListing> listing) {
                      if (!listing) {
                          m_watchRetry.expires_after(watchRetryDelay);
                          m_watchRetry.async_wait(
                                  [this, after](const asio::error_code &) { watchFleet(after); });
                          return;
                      }
                      takeFleet(listing.value());
                      watchFleet(listing.value().revision);
                  });
}

void Entry::takeFleet(const platform::StoreListing &listing)
{
    for (const auto &item : listing.items) {
        if (item.key != fleetKey || item.deleted) {
            continue;
        }
        auto reading = fleet::readFleet(item.value);
        if (!reading.mistakes.empty()) {
            logEvent(fleetRefused, "revision {}: {}", item.revision,
                     reading.mistakes.front().toString());
            continue;
        }
        auto fleet = std::make_shared<const fleet::FleetDocument>(std::move(reading.document));
        holdQuotas(*fleet);
        m_dispatcher.setFleet(fleet);
        m_callerApi.setFleet(fleet);
        m_jobs.setFleet(fleet);
        logEvent(fleetTaken, "revision {}", item.revision);
    }
}

void Entry::holdQuotas(const fleet::FleetDocument &fleet)
{
    unsigned index = 0;
    unsigned entries = 1;
    for (const auto &peer : m_peers.peers()) {
        index += peer.entry < m_settings.entry ? 1 : 0;
        ++entries;
    }
    for (const auto &workspace : fleet.workspaces) {
        m_quotas.setHeld(quota::limitOf(workspace.id),
                         quota::staticShare(workspace.limit, entries, index));
    }
    for (const auto &worker : fleet.workers) {
        m_quotas.setHeld(quota::slotsOf(worker.id), worker.slots);
    }
}

void Entry::stop()
{
    logEvent(entryLeaving, "{} requests in flight", m_callerApi.inFlight());
    m_stopping = true;
    m_callerApi.setLeaving();
    std::this_thread::sleep_for(m_settings.drainDelay);
    m_callerApi.setRefusing();
    const auto deadline = steadyNow() + m_settings.shutdownDeadline;
    while (m_callerServer.openRequests() > 0 && steadyNow() < deadline) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    logEvent(entryStopped, "{} requests cut", m_callerServer.openRequests());
    m_outcomes.stop();
    m_jobs.stop();
    m_store.stop();
    m_callerServer.stop();
    if (m_operatorServer) {
        m_operatorServer->stop();
    }
    m_peers.stop();
    m_threads.stop();
}

} // namespace cyclamenlatch::app
