// Lists the hosts, sends host orders and stores the progress of waves.
#include "control/hostservice.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "control/internal/callafter.h"
#include "control/records.h"
#include "control/storekeys.h"
#include "platform/configcodec.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cyclamenlatch::control {

namespace {

using platform::StoreOutcome;

constexpr std::chrono::milliseconds tickInterval{100};
constexpr std::chrono::milliseconds callTimeout{800};
constexpr std::chrono::milliseconds retryPause{300};
constexpr std::chrono::milliseconds poolLogInterval{1000};
// Decoding a page of 200 hosts blocks the event loop for some milliseconds, so that a list of many
// pages is read less often.
constexpr std::chrono::milliseconds pageInterval{100};
// Share of the platform's read rate that an owner uses; the rest is left to an owner that takes
// over.
constexpr double listReadShare = 0.5;
constexpr double minReadsPerSecond = 0.1;

} // namespace

HostService::HostService(asio::io_context &context, PlatformStoreClient &store,
                         net::LoopHttpClient &http, Ownership &ownership,
                         const platform::EntrySettings &settings, scheduling::OwnerCore &core,
                         WorkMeter &work, std::function<void()> onHostsChanged)
    : m_context(context)
    , m_store(store)
    , m_http(http)
    , m_ownership(ownership)
    , m_settings(settings)
    , m_hostCodec(settings.hostApiAddress)
    , m_holder{settings.name, ownership.tenure().term}
    , m_ownerRevision(ownership.tenure().revision)
    , m_onHostsChanged(std::move(onHostsChanged))
    , m_core(core)
    , m_work(work)
    , m_hostPlanner(
              {settings.holderCooldown, settings.maintenanceDuration, settings.hostOrdersPerSecond},
              core, bootNow(), ownership.tenure().term == 1,
              [term = ownership.tenure().term](const auto &host, const auto &what) {
                  logEvent(hostDecision, "host={} what=\"{}\" term={}", host, what, term);
              })
    , m_timer(context)
    , m_orderedHosts(store, ownership, std::string(orderedHostsKey))
{}

HostService::~HostService() = default;

void HostService::start()
{
    if (!m_settings.hostApiAddress.empty()) {
        loadWaves();
    }
}

void HostService::setWaves(const std::map<std::uint64_t, scheduling::WavePlan> &waves)
{
    m_waves = waves;
    applyWaves();
}

void HostService::loadWaves()
{
    m_store.list(std::string(waveRecordPrefix),
                 [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
                     if (alive.expired()) {
                         return;
                     }
                     if (reply.outcome != StoreOutcome::Done) {
                         return retryLater([this] { loadWaves(); });
                     }
                     for (const auto &item : reply.items) {
                         std::uint64_t number = 0;
                         const auto text = item.key.substr(waveRecordPrefix.size());
                         std::from_chars(text.data(), text.data() + text.size(), number);
                         auto &stored = storedWave(number);
                         stored.record.setRevision(item.revision);
                         if (auto progress = decodeWave(item.value)) {
                             stored.progress = std::move(progress).value();
                         } else {
                             logEvent(recordUnreadable, "key={}", item.key);
                         }
                     }
                     m_areWaveRecordsLoaded = true;
                     applyWaves();
                     loadInitialPoolSizes();
                 });
}

void HostService::loadInitialPoolSizes()
{
    m_store.get(std::string(initialPoolSizesKey),
                [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
                    if (alive.expired()) {
                        return;
                    }
                    if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                        if (auto initialPoolSizes = decodeCounts(reply.items.front().value)) {
                            m_hostPlanner.setInitialPoolSizes(std::move(initialPoolSizes).value());
                        } else {
                            logEvent(recordUnreadable, "key={}", initialPoolSizesKey);
                        }
                        m_areInitialPoolSizesStored = true;
                    } else if (reply.outcome != StoreOutcome::NotFound) {
                        return retryLater([this] { loadInitialPoolSizes(); });
                    }
                    loadOrderedHosts();
                });
}

void HostService::loadOrderedHosts()
{
    m_store.get(std::string(orderedHostsKey), [this,
                                               alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (alive.expired()) {
            return;
        }
        if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
            m_orderedHosts.setRevision(reply.items.front().revision);
            const auto hosts = decodeIds(reply.items.front().value);
            if (!hosts) {
                logEvent(recordUnreadable, "key={}", orderedHostsKey);
            } else {
                m_hostPlanner.setOrderedBefore({hosts.value().begin(), hosts.value().end()});
            }
        } else if (reply.outcome != StoreOutcome::NotFound) {
            return retryLater([this] { loadOrderedHosts(); });
        }
        tick();
    });
}

void HostService::recordHosts()
{
    if (m_orderedHosts.isWriting() || !m_ownership.isHeld()) {
        return;
    }
    const auto hosts = m_hostPlanner.hostsToRecord(bootNow());
    if (!hosts) {
        return;
    }
    m_orderedHosts.write(encodeIds({hosts->begin(), hosts->end()}), [this, hosts](bool isStored) {
        if (!isStored) {
            return retryLater([this] { recordHosts(); });
        }
        m_hostPlanner.hostsRecorded(*hosts);
        plan();
    });
}

void HostService::storeInitialPoolSizes()
{
    if (m_areInitialPoolSizesStored || m_hostPlanner.initialPoolSizes().empty()
        || !m_ownership.isHeld()) {
        return;
    }
    m_areInitialPoolSizesStored = true;
    platform::StoreTransaction transaction;
    transaction.expected = {{std::string(ownerKey), m_ownerRevision},
                            {std::string(initialPoolSizesKey), 0}};
    transaction.writes = {
            {std::string(initialPoolSizesKey), encodeCounts(m_hostPlanner.initialPoolSizes()), 0}};
    m_store.transaction(transaction, [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (!alive.expired() && reply.outcome != StoreOutcome::Done
            && reply.outcome != StoreOutcome::Conflict) {
            m_areInitialPoolSizesStored = false;
        }
    });
}

void HostService::retryLater(std::function<void()> action)
{
    detail::callAfter(m_context, retryPause, m_alive, std::move(action));
}

void HostService::applyWaves()
{
    if (!m_areWaveRecordsLoaded) {
        return;
    }
    for (const auto &[number, wave] : m_waves) {
        auto &stored = storedWave(number).progress;
        if (stored.began == WallTime{}) {
            stored.began = wallNow();
        }
        // The wall clock may have been set since the wave began.
        const auto elapsed = std::clamp<Duration>(wallNow() - stored.began, {}, wave.duration);
        m_hostPlanner.requestWave(wave, {stored.done.begin(), stored.done.end()}, elapsed,
                                  bootNow());
    }
}

void HostService::tick()
{
    if (bootNow() - m_listedAt > listInterval()) {
        list();
    }
    plan();
    storeProgress();
    storeInitialPoolSizes();
    logPools();
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](const auto &error) {
        if (!error && !alive.expired()) {
            tick();
        }
    });
}

// The longest of what the host planner asks for, what the platform's read rate allows and what the
// number of pages calls for.
Duration HostService::listInterval() const
{
    const auto allowed = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            m_listPageCount
            / (listReadShare * std::max(m_settings.hostReadsPerSecond, minReadsPerSecond))));
    return std::max<Duration>(
            {m_hostPlanner.listInterval(), allowed, m_listPageCount * pageInterval});
}

void HostService::list()
{
    if (std::exchange(m_isListing, true)) {
        return;
    }
    m_listedAt = bootNow();
    m_listPageCount = 0;
    listPage({}, {});
}

void HostService::listPage(const std::string &page, std::vector<scheduling::HostInfo> gathered)
{
    ++m_listPageCount;
    auto call = m_hostCodec.list(page);
    call.timeout = callTimeout;
    m_http.send(std::move(call), [this, gathered = std::move(gathered),
                                  alive = std::weak_ptr(m_alive)](const auto &result) mutable {
        if (alive.expired()) {
            return;
        }
        const WorkMeter::Span span(m_work, WorkKind::Hosts);
        auto answer = platform::HostCodec::decodeHostPage(result);
        if (!answer) {
            m_isListing = false;
            return;
        }
        for (auto &host : answer->hosts) {
            gathered.push_back(std::move(host));
        }
        if (!answer->nextPage.empty()) {
            return listPage(answer->nextPage, std::move(gathered));
        }
        m_isListing = false;
        m_hostPlanner.hostsListed(std::move(gathered), bootNow());
        plan();
    });
}

void HostService::plan()
{
    if (!m_ownership.isHeld()) {
        return;
    }
    {
        const WorkMeter::Span span(m_work, WorkKind::Hosts);
        for (const auto &order : m_hostPlanner.plan(bootNow())) {
            send(order);
        }
    }
    recordHosts();
    m_onHostsChanged();
}

void HostService::send(const scheduling::HostOrder &order)
{
    struct CallEncoder
    {
        const HostService &service;

        net::HttpCall operator()(const scheduling::MaintenanceOrder &maintenance) const
        {
            return service.m_hostCodec.maintenance(service.m_holder, maintenance.host,
                                                   maintenance.wave);
        }
        net::HttpCall operator()(const scheduling::MoveOrder &move) const
        {
            return service.m_hostCodec.move(service.m_holder, move.host, move.pool);
        }
    };
    auto call = std::visit(CallEncoder{*this}, order);
    call.timeout = callTimeout;
    call.isPermitted = m_ownership.makeOwnershipCheck(m_alive);
    m_http.send(std::move(call), [this, order, alive = std::weak_ptr(m_alive)](const auto &result) {
        if (alive.expired()) {
            return;
        }
        const auto answer = platform::HostCodec::decodeOrderReply(result);
        m_hostPlanner.answered(order, answer, bootNow());
        if (answer == scheduling::HostOrderResult::Fenced) {
            return m_ownership.resign("the host API has seen an owner with a higher term");
        }
        m_onHostsChanged();
    });
}

void HostService::logPools()
{
    const auto now = bootNow();
    if (now - m_poolsLoggedAt < poolLogInterval) {
        return;
    }
    m_poolsLoggedAt = now;
    for (const auto &[service, demand] : m_core.demands(now)) {
        logEvent(poolState,
                 "pool={} hosts={} coming={} cores={:.0f} lasting={:.0f} used={:.0f} "
                 "lasting_waiting={:.0f} waiting_core_seconds={:.0f}",
                 service, demand.targets, m_hostPlanner.incomingHosts(service), demand.processors,
                 demand.longRunning, demand.used, demand.longRunningWaiting, demand.openWork);
    }
}

HostService::StoredWave::StoredWave(PlatformStoreClient &store, Ownership &ownership,
                                    std::uint64_t number)
    : record(store, ownership, waveRecordKey(number))
{}

HostService::StoredWave &HostService::storedWave(std::uint64_t number)
{
    return m_storedWaves.try_emplace(number, m_store, m_ownership, number).first->second;
}

void HostService::storeProgress()
{
    if (m_isWritingProgress || !m_ownership.isHeld()) {
        return;
    }
    if (const auto progress = m_hostPlanner.takeChangedWave()) {
        m_isWritingProgress = true;
        writeProgress(*progress);
    }
}

void HostService::writeProgress(const scheduling::HostPlanner::WaveProgress &progress)
{
    auto &stored = storedWave(progress.number);
    const WaveRecord wave{stored.progress.began, {progress.done.begin(), progress.done.end()}};
    const platform::StoreTransaction::Write status{platform::waveStatusKey(progress.number),
                                                   platform::encodeWaveStatus(progress.isCompleted),
                                                   0};
    const auto handleWritten = [this, progress](bool isStored) {
        if (!isStored) {
            return retryLater([this, progress] { writeProgress(progress); });
        }
        m_isWritingProgress = false;
        logEvent(waveChanged, "wave={} done={} completed={}", progress.number, progress.done.size(),
                 progress.isCompleted);
    };
    stored.record.write(encodeWave(wave), handleWritten, {status});
}

} // namespace cyclamenlatch::control
