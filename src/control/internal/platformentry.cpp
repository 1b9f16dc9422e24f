// Creates the parts of an entry, handles signals and watches the store's health.
#include "control/platformentry.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "control/eventlog.h"
#include "control/jobrequesthandler.h"
#include "control/keywatcher.h"
#include "control/metrics.h"
#include "control/ownerservice.h"
#include "control/ownership.h"
#include "control/platformstoreclient.h"
#include "control/retention.h"
#include "net/loophttpclient.h"
#include "net/loophttpserver.h"
#include "platform/callercodec.h"
#include "platform/configcodec.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cyclamenlatch::control {

namespace {

// For the watches and other calls of this process to the store.
constexpr std::size_t storeConnections = 32;
// One for the watch of the owner's key, the rest for renewals: while the store does not answer, one
// is sent every 150 ms, and each times out after 600 ms.
constexpr std::size_t leaseConnections = 8;
// One of them is taken by the keep-alive, which waits for changes.
constexpr std::size_t connectionsPerTarget = 4;
// Share of the entry's file descriptors for kept connections to targets; the rest is for callers,
// the store and the platform's reserve.
constexpr double targetsShareOfDescriptors = 0.6;
// Small, because every target has a call in progress; answers of targets are 1 to 2 KiB.
constexpr std::size_t targetBufferBytes = 2048;
// A configuration has to be in force within two seconds of its acknowledgement, also when the
// connection of a watch is dead.
constexpr std::chrono::milliseconds configurationWatchWait{800};
// After a store outage of this length the entry reports itself unready, so that the platform sends
// callers to other entries.
constexpr std::chrono::milliseconds unreadyAfterOutage{1000};
constexpr std::chrono::milliseconds healthInterval{250};
// A stopping entry serves at least this long: the platform sends connections until it has missed
// two readiness checks, one second apart.
constexpr std::chrono::milliseconds minShutdownTime{2600};
// The latest exit is this long before the end of the grace period, when the platform kills the
// process.
constexpr std::chrono::milliseconds shutdownMargin{700};
constexpr std::chrono::milliseconds callerExchangeTimeout{15000};
// The platform's readiness checks and readers of metrics have room of their own.
constexpr std::size_t checkConnections = 32;
constexpr std::size_t checkHeldBytes = std::size_t{256} * 1024;
constexpr std::size_t checkBodyBytes = std::size_t{4} * 1024;
// Interval of the log lines about limits.
constexpr std::chrono::milliseconds intakeLogInterval{1000};
// Part of the memory that one answer of the store or of a target may take.
constexpr std::size_t memoryPerReply = 16;
constexpr std::size_t minReplyBytes = std::size_t{2} * 1024 * 1024;
// An owner of some hundred targets uses a tenth of a core or more; entries with fewer cores than
// this leave the ownership to other entries for the claim delay.
constexpr double minOwnerCores = 0.2;
constexpr std::chrono::milliseconds smallEntryClaimDelay{400};

std::size_t maxReplyBytes(const platform::EntrySettings &settings)
{
    return std::max(settings.memoryBytes / memoryPerReply, minReplyBytes);
}

net::IntakeLimits callerLimits(const platform::EntrySettings &settings)
{
    auto limits = net::IntakeLimits::forProcess(settings.memoryBytes, settings.maxFileDescriptors);
    // The configuration says how long a body may be; see applyOperatorItems.
    limits.maxBodyBytes = limits.maxHeldBytes / 2;
    limits.exchangeTimeout = callerExchangeTimeout;
    limits.stallTimeout = settings.callerStallTimeout;
    if (settings.maxCallerConnections > 0) {
        limits.maxConnections = settings.maxCallerConnections;
    }
    if (settings.maxCallerHeldBytes > 0) {
        limits.maxHeldBytes = settings.maxCallerHeldBytes;
    }
    return limits;
}

net::IntakeLimits checkLimits()
{
    net::IntakeLimits limits;
    limits.maxConnections = checkConnections;
    limits.maxHeldBytes = checkHeldBytes;
    limits.maxBodyBytes = checkBodyBytes;
    return limits;
}

net::HttpClientSettings storeClientSettings(const platform::EntrySettings &settings)
{
    net::HttpClientSettings client;
    client.maxReplyBytes = maxReplyBytes(settings);
    client.maxConnectionsPerHost = storeConnections;
    client.maxKeptConnections = storeConnections;
    return client;
}

// Renewals of the owner's lease have connections of their own, so that they never queue behind
// other calls to the store.
net::HttpClientSettings leaseClientSettings(const platform::EntrySettings &settings)
{
    net::HttpClientSettings client;
    client.maxReplyBytes = maxReplyBytes(settings);
    client.maxConnectionsPerHost = leaseConnections;
    client.maxKeptConnections = leaseConnections;
    client.receiveBufferBytes = targetBufferBytes;
    return client;
}

net::HttpClientSettings targetClientSettings(const platform::EntrySettings &settings)
{
    net::HttpClientSettings client;
    client.maxConnectionsPerHost = connectionsPerTarget;
    client.maxKeptConnections = static_cast<std::size_t>(
            targetsShareOfDescriptors * static_cast<double>(settings.maxFileDescriptors));
    client.receiveBufferBytes = targetBufferBytes;
    client.maxReplyBytes = maxReplyBytes(settings);
    return client;
}

std::chrono::milliseconds claimDelayFor(const platform::EntrySettings &settings)
{
    return settings.cores < minOwnerCores ? smallEntryClaimDelay : std::chrono::milliseconds{0};
}

} // namespace

class PlatformEntry::Private
{
public:
    Private(platform::EntrySettings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_log(m_context, m_settings.name)
        , m_storeHttp(
                  std::make_unique<net::LoopHttpClient>(m_context, storeClientSettings(m_settings)))
        , m_targetHttp(std::make_unique<net::LoopHttpClient>(m_context,
                                                             targetClientSettings(m_settings)))
        , m_leaseHttp(
                  std::make_unique<net::LoopHttpClient>(m_context, leaseClientSettings(m_settings)))
        , m_store(m_context, *m_storeHttp, m_settings.storeAddress, m_metrics)
        , m_leaseStore(m_context, *m_leaseHttp, m_settings.storeAddress, m_metrics)
        , m_jobRequestHandler(m_store, m_metrics, recordRetention(m_settings))
        , m_ownership(m_context, m_leaseStore, m_settings.name, claimDelayFor(m_settings),
                      Ownership::Listener{
                              [this](const auto &tenure) { onOwnershipGained(tenure); },
                              [this](const auto &reason) { onOwnershipLost(reason); },
                              [this] { onOwnershipSuspended(); },
                              [this](bool wasSuspended) { onOwnershipResumed(wasSuspended); }})
        , m_configurationWatcher(m_context, m_store, std::string(platform::operatorPrefix),
                                 configurationWatchWait,
                                 [this](const auto &items, auto, bool isSnapshot) {
                                     applyOperatorItems(items, isSnapshot);
                                 })
        , m_callerServer(m_context, m_settings.listenAddress, m_settings.callerPort,
                         callerLimits(m_settings),
                         [this](auto request, auto respond) {
                             m_jobRequestHandler.handle(std::move(request), std::move(respond));
                         })
        , m_readinessServer(m_context, m_settings.listenAddress, m_settings.readinessPort,
                            checkLimits(),
                            [this](const auto &request, const auto &respond) {
                                respond(checkReadiness(request));
                            })
        , m_metricsServer(m_context, m_settings.listenAddress, m_settings.metricsPort,
                          checkLimits(),
                          [this](const auto &, const auto &respond) { respond(showMetrics()); })
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_healthTimer(m_context)
    {
        m_callerServer.setMaxBodyBytes(scheduling::RequestLimits{}.maxBodyBytes);
    }

    Result<void> run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        BOOST_OUTCOME_TRY(m_callerServer.start());
        BOOST_OUTCOME_TRY(m_readinessServer.start());
        if (m_settings.metricsPort != 0) {
            BOOST_OUTCOME_TRY(m_metricsServer.start());
        }
        logEvent(controlStarted, "callers={}:{} readiness={} store={}", m_settings.listenAddress,
                 m_settings.callerPort, m_settings.readinessPort, m_settings.storeAddress);
        m_configurationWatcher.start();
        m_ownership.start();
        waitForSignal();
        watchHealth();
        m_context.run();
        m_owner.reset();
        // Destroying a client completes its open calls, whose handlers use the other members.
        m_targetHttp.reset();
        m_storeHttp.reset();
        m_leaseHttp.reset();
        logEvent(controlStopped, "open_requests={}", m_jobRequestHandler.openRequests());
        return success();
    }

private:
    net::HttpReply checkReadiness(const net::HttpRequest &request) const
    {
        net::HttpReply reply;
        const bool isReady = !m_isShuttingDown && m_jobRequestHandler.hasRules()
                             && m_store.outageDuration(bootNow()) < unreadyAfterOutage;
        reply.status = request.path != platform::readinessPath ? 404 : isReady ? 200 : 503;
        return reply;
    }

    net::HttpReply showMetrics()
    {
        m_metrics.set("is_owner", m_ownership.isHeld() ? 1 : 0);
        m_metrics.set("term", static_cast<double>(m_ownership.tenure().term));
        m_metrics.set("rules_version", m_jobRequestHandler.hasRules() ? static_cast<double>(
                                               m_jobRequestHandler.rules()->version)
                                                                      : 0);
        m_metrics.set("open_requests", static_cast<double>(m_jobRequestHandler.openRequests()));
        m_metrics.set("store_silence_seconds", toSeconds(m_store.outageDuration(bootNow())));
        m_metrics.set("log_lines_dropped", static_cast<double>(m_log.dropped()));
        const auto intake = m_callerServer.statistics();
        m_metrics.set("caller_connections", static_cast<double>(intake.connections));
        m_metrics.set("caller_held_bytes", static_cast<double>(intake.heldBytes));
        for (const auto &[refusal, name] : net::intakeRefusalEntries) {
            m_metrics.set(fmt::format(R"(caller_limits_total{{limit="{}"}})", name),
                          static_cast<double>(intake.refused[static_cast<std::size_t>(refusal)]));
        }
        net::HttpReply reply;
        reply.headers.add("Content-Type", "text/plain; version=0.0.4");
        reply.body = m_metrics.text();
        return reply;
    }

    void applyOperatorItems(const std::vector<platform::StoreItem> &items, bool isSnapshot)
    {
        applyEvacuations(items, isSnapshot);
        for (const auto &item : items) {
            if (!item.deleted && item.key.starts_with(platform::wavePrefix)) {
                applyWave(item);
            }
            if (item.deleted || item.key != platform::configurationKey) {
                continue;
            }
            auto rules = platform::decodeFleetRules(item.value);
            if (!rules) {
                logEvent(rulesRefused, "revision={} reason=\"{}\"", item.revision,
                         rules.error().message);
                continue;
            }
            m_jobRequestHandler.setRules(std::move(rules).value());
            m_callerServer.setMaxBodyBytes(m_jobRequestHandler.rules()->limits.maxBodyBytes);
            if (m_owner) {
                m_owner->setRules(*m_jobRequestHandler.rules());
            } else if (m_ownership.isHeld()) {
                startOwner();
            }
        }
    }

    void applyEvacuations(const std::vector<platform::StoreItem> &items, bool isSnapshot)
    {
        auto evacuated = isSnapshot ? std::set<std::string>{} : m_evacuated;
        for (const auto &item : items) {
            if (!item.key.starts_with(platform::evacuationPrefix)) {
                continue;
            }
            const auto dataCentre = item.key.substr(platform::evacuationPrefix.size());
            item.deleted ? evacuated.erase(dataCentre) : evacuated.insert(dataCentre).second;
        }
        if (evacuated == m_evacuated) {
            return;
        }
        m_evacuated = std::move(evacuated);
        logEvent(evacuationChanged, "data_centres=\"{}\"", fmt::join(m_evacuated, " "));
        if (m_owner) {
            m_owner->setEvacuated(m_evacuated);
        }
    }

    void applyWave(const platform::StoreItem &item)
    {
        const auto wave = platform::decodeWave(item.value);
        if (!wave) {
            logEvent(recordUnreadable, "key={} revision={}", item.key, item.revision);
            return;
        }
        m_waves[wave->number] = *wave;
        if (m_owner) {
            m_owner->setWaves(m_waves);
        }
    }

    void onOwnershipGained(const Tenure &tenure)
    {
        logEvent(ownershipGained, "term={} first_token={} revision={}", tenure.term,
                 tenure.firstToken, tenure.revision);
        if (m_jobRequestHandler.hasRules()) {
            startOwner();
        }
    }

    void startOwner()
    {
        m_owner = std::make_unique<OwnerService>(m_context, m_store, *m_targetHttp, m_ownership,
                                                 m_settings, m_metrics);
        m_owner->setWaves(m_waves);
        m_owner->setEvacuated(m_evacuated);
        m_owner->start(*m_jobRequestHandler.rules());
    }

    void onOwnershipLost(const std::string &reason)
    {
        logEvent(ownershipLost, "term={} reason=\"{}\"", m_ownership.tenure().term, reason);
        m_owner.reset();
    }

    // Keeps the owner's state in memory: it is valid if the store renews the lease after all.
    void onOwnershipSuspended()
    {
        logEvent(ownershipSuspended, "term={}", m_ownership.tenure().term);
    }

    void onOwnershipResumed(bool wasSuspended)
    {
        if (wasSuspended) {
            logEvent(ownershipResumed, "term={}", m_ownership.tenure().term);
        }
        if (m_owner) {
            m_owner->storeRecovered();
        } else if (m_jobRequestHandler.hasRules()) {
            startOwner();
        }
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const auto &error, int signal) {
            if (error) {
                return;
            }
            waitForSignal();
            if (signal == SIGHUP) {
                reloadSettings();
            } else if (!m_isShuttingDown) {
                beginShutdown();
            }
        });
    }

    void reloadSettings()
    {
        auto settings = platform::readEntrySettings(m_settingsPath);
        if (!settings) {
            logEvent(settingsRead, "in_force=no reason=\"{}\"", settings.error().message);
            return;
        }
        logEvent(settingsRead, "in_force={}",
                 settings.value().storeAddress == m_settings.storeAddress ? "yes"
                                                                          : "after a restart");
    }

    void beginShutdown()
    {
        m_isShuttingDown = true;
        logEvent(controlStopping, "open_requests={}", m_jobRequestHandler.openRequests());
        m_jobRequestHandler.beginShutdown();
        m_ownership.stop();
        m_earliestExitAt = bootNow() + minShutdownTime;
        m_latestExitAt = bootNow() + m_settings.terminationGracePeriod - shutdownMargin;
    }

    void logIntake(TimePoint now)
    {
        const auto intake = m_callerServer.statistics();
        if (intake.refused == m_loggedIntake.refused
            || now - m_intakeLoggedAt < intakeLogInterval) {
            return;
        }
        std::string refused;
        for (const auto &[refusal, name] : net::intakeRefusalEntries) {
            const auto index = static_cast<std::size_t>(refusal);
            if (const auto count = intake.refused[index] - m_loggedIntake.refused[index];
                count > 0) {
                refused += fmt::format("{}{}:{}", refused.empty() ? "" : " ", name, count);
            }
        }
        logEvent(callersLimited, "refused=\"{}\" connections={} held_bytes={}", refused,
                 intake.connections, intake.heldBytes);
        m_loggedIntake = intake;
        m_intakeLoggedAt = now;
    }

    void watchHealth()
    {
        const auto now = bootNow();
        const bool isStoreUnavailable = m_store.outageDuration(now) >= unreadyAfterOutage;
        if (isStoreUnavailable != std::exchange(m_wasStoreUnavailable, isStoreUnavailable)) {
            if (isStoreUnavailable) {
                logEvent(storeUnavailable, "silent_ms={}",
                         toMilliseconds(m_store.outageDuration(now)).count());
            } else {
                logEvent(storeRecovered, "calls={}", m_store.calls());
                m_configurationWatcher.restartWatch();
                m_ownership.storeRecovered();
                if (m_owner) {
                    m_owner->storeRecovered();
                }
            }
        }
        if (isStoreUnavailable) {
            // Requests that need the store are refused meanwhile, so that no other call would
            // notice its recovery.
            m_store.probe();
        }
        if (m_isShuttingDown
            && ((now >= m_earliestExitAt && m_callerServer.openRequests() == 0)
                || now >= m_latestExitAt)) {
            return m_context.stop();
        }
        logIntake(now);
        m_healthTimer.expires_after(healthInterval);
        m_healthTimer.async_wait([this, due = now + healthInterval](const auto &error) {
            if (!error) {
                m_metrics.observe("event_loop_delay_seconds",
                                  std::max<Duration>(bootNow() - due, Duration{}));
                watchHealth();
            }
        });
    }

    const platform::EntrySettings m_settings;
    const std::string m_settingsPath;
    asio::io_context m_context{1};
    EventLog m_log;
    std::unique_ptr<net::LoopHttpClient> m_storeHttp;
    std::unique_ptr<net::LoopHttpClient> m_targetHttp;
    std::unique_ptr<net::LoopHttpClient> m_leaseHttp;
    Metrics m_metrics;
    PlatformStoreClient m_store;
    PlatformStoreClient m_leaseStore;
    JobRequestHandler m_jobRequestHandler;
    Ownership m_ownership;
    KeyWatcher m_configurationWatcher;
    net::LoopHttpServer m_callerServer;
    net::LoopHttpServer m_readinessServer;
    net::LoopHttpServer m_metricsServer;
    // As of the last line about limits.
    net::IntakeStatistics m_loggedIntake;
    TimePoint m_intakeLoggedAt{};
    asio::signal_set m_signals;
    asio::steady_timer m_healthTimer;
    // Set while this entry is the owner and has a configuration.
    std::unique_ptr<OwnerService> m_owner;
    std::map<std::uint64_t, scheduling::WavePlan> m_waves;
    // Data centres to which operators want no more work to be sent.
    std::set<std::string> m_evacuated;
    bool m_wasStoreUnavailable = false;
    bool m_isShuttingDown = false;
    TimePoint m_earliestExitAt{};
    TimePoint m_latestExitAt{};
};

PlatformEntry::PlatformEntry(platform::EntrySettings settings, std::string settingsPath)
    : m_private(std::make_unique<Private>(std::move(settings), std::move(settingsPath)))
{}

PlatformEntry::~PlatformEntry() = default;

Result<void> PlatformEntry::run()
{
    return m_private->run();
}

} // namespace cyclamenlatch::control
