// The I/O around the wave machine: leadership, records, polls, probes and reboots.
#include "maintenance/maintenancecontroller.h"

#include "maintenance/maintenanceevents.h"
#include "maintenance/recordjson.h"
#include "maintenance/waveplanner.h"
#include "maintenance/waveretention.h"

#include <asio/post.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cyclamenlatch::maintenance {

namespace {

// Hosts that are not under way are probed this many times less often.
constexpr int idleProbeFactor = 10;
// Records of old waves removed at a time.
constexpr std::size_t maxRemovals = 100;

RecordTime recordNow()
{
    return wallNow().time_since_epoch().count();
}

std::string leaderKey(const DataCentreId &dataCentre)
{
    return "maintenance-leaders/" + dataCentre.value();
}

} // namespace

MaintenanceController::MaintenanceController(asio::io_context &context,
                                             MaintenanceSettings settings,
                                             store::StoreClient &store, store::HostClient &hosts,
                                             DrainCoordinator &drains, net::HttpClient &probes)
    : m_strand(asio::make_strand(context))
    , m_settings(std::move(settings))
    , m_store(store)
    , m_hosts(hosts)
    , m_drains(drains)
    , m_probes(probes)
    , m_lease(m_strand, store, leaderKey(m_settings.dataCentre), m_settings.entry.value(),
              [this](bool held) { onLeadership(held); })
    , m_timer(m_strand)
    , m_recordsTimer(m_strand)
    , m_marksTimer(m_strand)
{}

void MaintenanceController::start()
{
    m_lease.start();
    asio::post(m_strand, [this] { armTick(); });
}

void MaintenanceController::stop()
{
    asio::post(m_strand, [this] {
        m_stopped = true;
        m_lease.stop();
        m_timer.cancel();
        m_recordsTimer.cancel();
        m_marksTimer.cancel();
    });
}

void MaintenanceController::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    asio::post(m_strand, [this, fleet = std::move(fleet)] { m_fleet = fleet; });
}

// A new entry learns what is leaving before any leader polls it.
void MaintenanceController::loadMarks(std::function<void()> loaded)
{
    m_store.list(hostPrefix,
                 [this, loaded = std::move(loaded)](const Result<store::StoreListing> &listing) {
                     if (!listing) {
                         asio::post(m_strand, [this, loaded] { retryMarks(loaded); });
                         return;
                     }
                     std::map<DataCentreId, DrainPoll> polls;
                     for (const auto &item : listing.value().items) {
                         const auto host = readHostRecord(item.value);
                         if (host && isLeaving(host.value().step)) {
                             auto &poll = polls[host.value().dataCentre];
                             poll.scope = host.value().dataCentre.value();
                             poll.revision = listing.value().revision;
                             poll.marks.push_back({host.value().worker, item.revision});
                         }
                     }
                     for (const auto &[dataCentre, poll] : polls) {
                         m_drains.take(poll);
                     }
                     loaded();
                 });
}

void MaintenanceController::retryMarks(std::function<void()> loaded)
{
    if (m_stopped) {
        return;
    }
    m_marksTimer.expires_after(m_settings.watchRetryInterval);
    m_marksTimer.async_wait([this, loaded = std::move(loaded)](const asio::error_code &error) {
        if (!error) {
            loadMarks(loaded);
        }
    });
}

void MaintenanceController::onLeadership(bool held)
{
    if (m_stopped) {
        return;
    }
    logEvent(held ? leadershipTaken : leadershipLost, "{} for {}", m_settings.entry.value(),
             m_settings.dataCentre.value());
    ++m_reading;
    m_records = MaintenanceRecords();
    m_written.clear();
    if (held) {
        readRecords(m_reading);
    }
}

void MaintenanceController::readRecords(unsigned reading)
{
    m_store.list(recordPrefix, [this, reading](Result<store::StoreListing> listing) {
        asio::post(m_strand, [this, reading, listing = std::move(listing)] {
            if (reading != m_reading || m_stopped) {
                return;
            }
            if (!listing) {
                return retryRecords(reading);
            }
            m_records.take(listing.value());
            watchRecords(reading);
        });
    });
}

void MaintenanceController::watchRecords(unsigned reading)
{
    m_store.watch(recordPrefix, m_records.revision(), m_settings.watchWait,
                  [this, reading](Result<store::StoreListing> listing) {
                      asio::post(m_strand, [this, reading, listing = std::move(listing)] {
                          if (reading != m_reading || m_stopped) {
                              return;
                          }
                          if (!listing) {
                              return retryRecords(reading);
                          }
                          if (m_records.take(listing.value()) && !listing.value().items.empty()) {
                              askEntries();
                              planWaves();
                          }
                          watchRecords(reading);
                      });
                  });
}

// The next reading starts from a whole list.
void MaintenanceController::retryRecords(unsigned reading)
{
    m_recordsTimer.expires_after(m_settings.watchRetryInterval);
    m_recordsTimer.async_wait([this, reading](const asio::error_code &error) {
        if (!error && reading == m_reading) {
            readRecords(reading);
        }
    });
}

void MaintenanceController::armTick()
{
    m_timer.expires_after(m_settings.tick);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error || m_stopped) {
            return;
        }
        tick();
        armTick();
    });
}

void MaintenanceController::tick()
{
    if (!m_lease.held() || !m_fleet || m_records.revision() == 0) {
        tellWave(false);
        return;
    }
    removeOld();
    const auto &waves = m_records.waves();
    const bool active = std::any_of(waves.begin(), waves.end(),
                                    [this](const auto &item) { return isActive(item.second); });
    tellWave(active);
    if (!active) {
        return;
    }
    listHosts();
    probeHosts();
    askEntries();
    planWaves();
    noteWaits();
}

void MaintenanceController::removeOld()
{
    const auto now = steadyNow();
    if (now - m_removed < m_settings.removalInterval) {
        return;
    }
    m_removed = now;
    for (const auto &removal :
         recordsToRemove(m_records, recordNow(), m_settings.retention, maxRemovals)) {
        m_store.remove(removal.key, removal.expected,
                       [key = removal.key](const Result<store::StoreRevision> &removed) {
                           if (removed && key.starts_with(wavePrefix)) {
                               logEvent(waveRemoved, "{}", key);
                           }
                       });
    }
}

// Records whom the wave waits for, for operators who ask any entry.
void MaintenanceController::noteWaits()
{
    const auto now = steadyNow();
    auto awaited = m_drains.waitingFor(m_settings.dataCentre.value(), m_records.entries());
    if (awaited != m_awaited) {
        m_awaited = std::move(awaited);
        m_awaitedSince = now;
    }
    const bool isLong = now - m_awaitedSince >= m_settings.waitToTell;
    const auto known = m_records.waits().find(m_settings.dataCentre);
    const auto told = known == m_records.waits().end() ? WaitRecord() : known->second;
    if (told.entries == m_awaited || (!m_awaited.empty() && !isLong)) {
        return;
    }
    const auto key = waitKey(m_settings.dataCentre);
    const WaitRecord record{m_settings.dataCentre, m_awaited, recordNow()};
    perform(store::StoreWrite{key, writeRecord(record), m_records.revisionOf(key), ""});
}

void MaintenanceController::tellWave(bool underWay)
{
    if (underWay == m_waveUnderWay || !m_waveListener) {
        return;
    }
    m_waveUnderWay = underWay;
    m_waveListener(underWay);
}

// A wave that is done stays active until every claim of it is gone and every host is back.
bool MaintenanceController::isActive(const WaveEntry &wave) const
{
    if (wave.record.state != WaveState::Done) {
        return true;
    }
    const auto &hosts = m_records.hosts(wave.record.wave);
    const bool waits = std::any_of(hosts.begin(), hosts.end(), [](const auto &item) {
        const auto step = item.second.record.step;
        return step != HostStep::Done && step != HostStep::Pending;
    });
    if (waits) {
        return true;
    }
    const auto &ledgers = m_records.ledgers();
    return std::any_of(ledgers.begin(), ledgers.end(), [&](const auto &item) {
        const auto &claims = item.second.record.claims;
        return std::any_of(claims.begin(), claims.end(),
                           [&](const Claim &claim) { return claim.wave == wave.record.wave; });
    });
}

std::vector<LeavingMark> MaintenanceController::ownMarks() const
{
    std::vector<LeavingMark> marks;
    for (const auto &[wave, record] : m_records.waves()) {
        for (const auto &[worker, host] : m_records.hosts(wave)) {
            if (host.record.dataCentre == m_settings.dataCentre && isLeaving(host.record.step)) {
                marks.push_back({worker, host.revision});
            }
        }
    }
    return marks;
}

void MaintenanceController::askEntries()
{
    m_drains.ask({m_settings.dataCentre.value(), m_records.revision(), ownMarks()});
}

void MaintenanceController::listHosts()
{
    const auto now = steadyNow();
    if (now - m_hostsListed < m_settings.hostListInterval) {
        return;
    }
    m_hostsListed = now;
    m_hosts.list([this](Result<std::vector<store::HostStatus>> hosts) {
        if (!hosts) {
            logEvent(hostListFailed, "{}", hosts.error().message);
            return;
        }
        asio::post(m_strand, [this, hosts = std::move(hosts.value())] {
            m_health.takeList(hosts, steadyNow());
        });
    });
}

void MaintenanceController::probeHosts()
{
    std::set<WorkerId> underWay;
    for (const auto &[wave, record] : m_records.waves()) {
        for (const auto &[worker, host] : m_records.hosts(wave)) {
            if (host.record.step != HostStep::Pending && host.record.step != HostStep::Done) {
                underWay.insert(worker);
            }
        }
    }
    const auto now = steadyNow();
    for (const auto &worker : m_fleet->workers) {
        if (worker.dataCentre != m_settings.dataCentre) {
            continue;
        }
        const auto interval =
                m_settings.probeInterval * (underWay.contains(worker.id) ? 1 : idleProbeFactor);
        if (now - m_probed[worker.id] >= interval) {
            m_probed[worker.id] = now;
            probe(worker);
        }
    }
}

void MaintenanceController::probe(const fleet::Worker &worker)
{
    net::HttpCall call;
    call.url = "http://" + worker.minionAddress + "/healthz";
    // The probe's own connection must not outlast it: a leaving host has none open.
    call.headers.add("Connection", "close");
    call.connectTimeout = m_settings.probeTimeout;
    call.timeout = m_settings.probeTimeout;
    m_health.noteProbed(worker.id);
    const auto asked = steadyNow();
    m_probes.send(std::move(call),
                  [this, id = worker.id, asked](const net::HttpCallResult &result) {
                      const bool answered = result.reply && result.reply->status == 200;
                      asio::post(m_strand, [this, id, asked, answered] {
                          m_health.takeProbe(id, answered, asked);
                      });
                  });
}

void MaintenanceController::planWaves()
{
    if (!m_lease.held() || !m_fleet) {
        return;
    }
    for (const auto &[id, wave] : m_records.waves()) {
        if (!isActive(wave)) {
            continue;
        }
        for (const auto &action : planWave(viewOf(wave), recordNow())) {
            std::visit([this](const auto &what) { perform(what); }, action);
        }
    }
}

WaveView MaintenanceController::viewOf(const WaveEntry &wave) const
{
    WaveView view;
    view.dataCentre = m_settings.dataCentre;
    view.wave = wave;
    view.hosts = m_records.hosts(wave.record.wave);
    view.ledgers = m_records.ledgers();
    view.budgets = budgetsOf(*m_fleet, wave.record.settings);
    for (const auto &worker : m_fleet->workers) {
        view.placement[worker.id] = worker.dataCentre;
    }
    m_health.fill(view.observed);
    view.observed.quiet = m_drains.quiet(m_settings.dataCentre.value(), m_records.entries());
    return view;
}

// Skips a key whose last write is not resolved or not yet part of the reading: the same plan
// would be written again and lose against itself.
void MaintenanceController::perform(const store::StoreWrite &write)
{
    const auto written = m_written.find(write.key);
    if (written != m_written.end() && written->second > m_records.revisionOf(write.key)) {
        return;
    }
    if (!m_writing.insert(write.key).second) {
        return;
    }
    m_store.compareAndSwap(write, [this, write](Result<store::StoreRevision> revision) {
        asio::post(m_strand, [this, write, revision = std::move(revision)] {
            m_writing.erase(write.key);
            if (revision) {
                m_written[write.key] = revision.value();
                logStep(write);
            }
        });
    });
}

void MaintenanceController::perform(const RebootRequest &request)
{
    const auto now = steadyNow();
    auto &asked = m_rebootAsked[request.attempt];
    if (now - asked < m_settings.rebootRetryInterval) {
        return;
    }
    asked = now;
    m_hosts.reboot(request.worker, request.attempt, [request](const Result<void> &accepted) {
        if (!accepted) {
            logEvent(rebootRefused, "{}: {}", request.attempt, accepted.error().message);
        }
    });
}

void MaintenanceController::logStep(const store::StoreWrite &write) const
{
    if (write.key.starts_with(hostPrefix)) {
        const auto host = readHostRecord(write.value);
        const auto &event = host.value().step == HostStep::SetAside ? hostSetAside : hostStepTaken;
        logEvent(event, "{} is {} {}", host.value().worker.value(),
                 hostStepNames.name(host.value().step), host.value().note);
    } else if (write.key.starts_with(wavePrefix)) {
        const auto wave = readWaveRecord(write.value);
        const bool paused = wave.value().state == WaveState::Paused;
        logEvent(paused ? wavePaused : waveFinished, "{} {}", wave.value().wave.value(),
                 wave.value().reason);
    } else if (write.key.starts_with(waitPrefix)) {
        const auto wait = readWaitRecord(write.value);
        std::string names;
        for (const auto &entry : wait.value().entries) {
            names += (names.empty() ? "" : ", ") + entry.value();
        }
        if (!names.empty()) {
            logEvent(entriesAwaited, "{}", names);
        }
    }
}

} // namespace cyclamenlatch::maintenance
