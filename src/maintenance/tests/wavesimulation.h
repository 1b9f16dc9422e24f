// A small world for wave tests on a virtual clock: a store, hosts that reboot and fail, entries
// that send until they see a leaving mark, and leaders that crash, pause and act on old readings.
#pragma once

#include "fleet/fleetdocument.h"
#include "global/random.h"
#include "maintenance/hostorder.h"
#include "maintenance/recordjson.h"
#include "maintenance/waveplanner.h"
#include "standins/platform/storemodel.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::maintenance {

struct SimulationSettings
{
    unsigned dataCentres = 2;
    unsigned services = 2;
    unsigned workersPerService = 6;
    unsigned maxUnavailable = 2;
    unsigned entries = 3;
    RecordTime rebootTime = 3000;
    // Chances per tick.
    double failureChance = 0;
    double staleChance = 0;
    double crashChance = 0;
    double outageChance = 0;
    double lostWriteChance = 0;
    double neverBackChance = 0;
    WaveSettings wave;
};

class WaveSimulation
{
public:
    WaveSimulation(const SimulationSettings &settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
        buildFleet();
        m_budgets = budgetsOf(fleet, m_settings.wave);
        startWave();
        // Two leaders in each data centre: a lapsed one beside its successor.
        for (const auto &dataCentre : fleet.dataCentres) {
            m_leaders.push_back({dataCentre.id, {}});
            m_leaders.push_back({dataCentre.id, {}});
        }
    }

    // Runs until the wave is done; returns whether it was within the number of ticks.
    bool run(unsigned ticks, unsigned chaosTicks)
    {
        for (unsigned tick = 0; tick < ticks; ++tick) {
            m_chaos = tick < chaosTicks;
            if (!m_chaos && wave().state == WaveState::Paused) {
                resume();
            }
            step();
            if (wave().state == WaveState::Done) {
                return true;
            }
        }
        return false;
    }

    const WaveRecord &wave() const { return m_wave.record; }

    const std::map<WorkerId, Versioned<HostRecord>> &hosts() const { return m_hosts; }

    void step()
    {
        now += tickLength;
        moveHosts();
        moveEntries();
        m_outage = m_chaos && chance(m_settings.outageChance * 5);
        for (auto &leader : m_leaders) {
            act(leader);
        }
        checkWaveAlone();
    }

    void fail(const WorkerId &worker, RecordTime until) { m_downUntil[worker] = until; }

    const WaveId waveId{"wave-1"};
    fleet::FleetDocument fleet;
    RecordTime now = 1000000;
    // What went wrong, if anything.
    std::vector<std::string> faults;
    std::map<WorkerId, unsigned> reboots;

private:
    static constexpr RecordTime tickLength = 250;
    static constexpr unsigned workersPerRack = 4;

    struct Leader
    {
        DataCentreId dataCentre;
        std::optional<WaveView> reading;
    };

    bool chance(double probability) { return uniformReal(m_random) < probability; }

    void buildFleet()
    {
        for (unsigned index = 0; index < m_settings.dataCentres; ++index) {
            fleet.dataCentres.push_back({DataCentreId("dc-" + std::to_string(index)), "r"});
        }
        for (unsigned service = 0; service < m_settings.services; ++service) {
            const auto name = "s-" + std::to_string(service);
            fleet.pools.push_back({PoolId(name), false});
            fleet.services.push_back(
                    {ServiceId(name), PoolId(name), m_settings.maxUnavailable, 0.999});
            for (unsigned index = 0; index < m_settings.workersPerService; ++index) {
                addWorker(PoolId(name));
            }
        }
    }

    void addWorker(const PoolId &pool)
    {
        const auto index = fleet.workers.size();
        fleet::Worker worker;
        worker.id = WorkerId("w-" + std::to_string(index));
        worker.dataCentre = fleet.dataCentres[index % fleet.dataCentres.size()].id;
        worker.rack = RackId(worker.dataCentre.value() + "-r-"
                             + std::to_string(index / fleet.dataCentres.size() / workersPerRack));
        worker.pool = pool;
        fleet.workers.push_back(worker);
    }

    void startWave()
    {
        WaveRecord record;
        record.wave = waveId;
        record.started = record.resumed = now;
        record.settings = m_settings.wave;
        record.hosts = orderHosts(fleet, fleet::Selector(), m_settings.wave);
        commit({waveKey(waveId), writeRecord(record), 0, ""});
    }

    // Writes to the store and reads the record back from what it holds; all other looks at records
    // are at what was read here, so that each text is parsed once.
    bool commit(const store::StoreWrite &write)
    {
        const auto revision = m_store.write(write);
        if (!revision) {
            return false;
        }
        const auto value = m_store.get(write.key)->value;
        if (write.key.starts_with(hostPrefix)) {
            const auto record = readHostRecord(value).value();
            m_hosts[record.worker] = {record, *revision};
        } else if (write.key.starts_with(ledgerPrefix)) {
            const auto budget = write.key.substr(std::string(ledgerPrefix).size());
            m_ledgers[budget] = {readLedgerRecord(value).value(), *revision};
        } else {
            m_wave = {readWaveRecord(value).value(), *revision};
        }
        return true;
    }

    void resume()
    {
        auto record = wave();
        record.state = WaveState::Running;
        record.resumed = now;
        commit({waveKey(waveId), writeRecord(record), m_wave.revision, ""});
    }

    bool isDown(const WorkerId &worker) const
    {
        const auto found = m_downUntil.find(worker);
        return found != m_downUntil.end() && found->second > now;
    }

    void moveHosts()
    {
        for (const auto &worker : fleet.workers) {
            if (m_chaos && !isDown(worker.id) && chance(m_settings.failureChance)) {
                // A failure cuts what runs there; that isn't the wave's doing.
                fail(worker.id, now + 20 * tickLength);
                m_inFlight.erase(worker.id);
            }
        }
        std::erase_if(m_rebooting, [&](const auto &item) {
            if (isDown(item.first)) {
                return false;
            }
            m_finished.insert(item.second);
            return true;
        });
    }

    // Each entry sends to hosts that it doesn't know as leaving, finishes some of its requests,
    // and hears of marks late.
    void moveEntries()
    {
        m_marks.clear();
        for (const auto &[worker, host] : m_hosts) {
            m_marks[worker] = {isLeaving(host.record.step), host.revision};
        }
        for (const auto &worker : fleet.workers) {
            const auto mark = m_marks.find(worker.id);
            auto &flights = m_inFlight[worker.id];
            auto &seen = m_seen[worker.id];
            flights.resize(m_settings.entries);
            seen.resize(m_settings.entries);
            for (unsigned entry = 0; entry < m_settings.entries; ++entry) {
                if (mark != m_marks.end() && chance(0.5)) {
                    seen[entry] = mark->second;
                }
                if (flights[entry] > 0 && chance(0.5)) {
                    --flights[entry];
                }
                if (!seen[entry].leaving && !isDown(worker.id) && chance(0.3)) {
                    ++flights[entry];
                }
            }
        }
    }

    HostObservations observe() const
    {
        HostObservations observed;
        observed.finishedReboots = {m_finished.begin(), m_finished.end()};
        for (const auto &worker : fleet.workers) {
            if (isDown(worker.id)) {
                observed.unhealthy.insert(worker.id);
            }
            const auto mark = m_marks.find(worker.id);
            if (mark == m_marks.end()) {
                continue;
            }
            bool quiet = mark->second.leaving;
            for (unsigned entry = 0; entry < m_settings.entries; ++entry) {
                quiet = quiet && m_seen.at(worker.id)[entry].revision == mark->second.revision
                        && m_inFlight.at(worker.id)[entry] == 0;
            }
            if (quiet) {
                observed.quiet[worker.id] = mark->second.revision;
            }
        }
        return observed;
    }

    WaveView read(const DataCentreId &dataCentre) const
    {
        WaveView view;
        view.dataCentre = dataCentre;
        view.wave = m_wave;
        view.hosts = {m_hosts.begin(), m_hosts.end()};
        view.budgets = m_budgets;
        view.ledgers = m_ledgers;
        for (const auto &worker : fleet.workers) {
            view.placement[worker.id] = worker.dataCentre;
        }
        view.observed = observe();
        return view;
    }

    void act(Leader &leader)
    {
        if (m_chaos && chance(m_settings.crashChance)) {
            leader.reading.reset();
            return;
        }
        const bool stale = leader.reading && m_chaos && chance(m_settings.staleChance);
        if (!stale && !m_outage) {
            leader.reading = read(leader.dataCentre);
        }
        if (!leader.reading) {
            return;
        }
        for (const auto &action : planWave(*leader.reading, now)) {
            // A crash between two actions.
            if (m_chaos && chance(m_settings.crashChance)) {
                leader.reading.reset();
                return;
            }
            if (const auto *write = std::get_if<store::StoreWrite>(&action)) {
                apply(*write, !stale && !m_outage);
            } else {
                reboot(std::get<RebootRequest>(action));
            }
        }
    }

    void apply(const store::StoreWrite &write, bool fresh)
    {
        if (m_outage || (m_chaos && chance(m_settings.lostWriteChance))) {
            return;
        }
        if (commit(write) && fresh && write.key.starts_with(hostPrefix)) {
            checkStep(readHostRecord(write.value).value());
        }
    }

    void reboot(const RebootRequest &request)
    {
        if (!m_attempts.insert(request.attempt).second) {
            return;
        }
        for (const auto flights : m_inFlight[request.worker]) {
            if (flights > 0 && !isDown(request.worker)) {
                faults.push_back("cut a request on " + request.worker.value());
            }
        }
        ++reboots[request.worker];
        m_rebooting[request.worker] = request.attempt;
        const bool neverBack = chance(m_settings.neverBackChance);
        fail(request.worker,
             neverBack ? std::numeric_limits<RecordTime>::max() : now + m_settings.rebootTime);
    }

    // A leader that reads freshly takes no host beyond the budget, failures included.
    void checkStep(const HostRecord &record)
    {
        if (record.step == HostStep::Leaving || record.step == HostStep::Rebooting) {
            checkBudgets(record.worker, true, "a step broke the budget of ");
        }
    }

    // Whatever the leaders read, the wave's own hosts stay within the budget.
    void checkWaveAlone()
    {
        for (const auto &worker : fleet.workers) {
            checkBudgets(worker.id, false, "the wave alone broke the budget of ");
        }
    }

    void checkBudgets(const WorkerId &worker, bool withFailures, const std::string &what)
    {
        for (const auto index : m_budgets.touched.at(worker)) {
            const auto &budget = m_budgets.budgets[index];
            std::size_t out = 0;
            for (const auto &member : budget.members) {
                const auto host = m_hosts.find(member);
                const bool leaving = host != m_hosts.end() && isLeaving(host->second.record.step);
                out += leaving || (withFailures && isDown(member)) ? 1 : 0;
            }
            if (out > budget.maxOut) {
                faults.push_back(what + budget.name);
            }
        }
    }

    struct Mark
    {
        bool leaving = false;
        store::StoreRevision revision = 0;
    };

    const SimulationSettings m_settings;
    Random m_random;
    standins::StoreModel m_store;
    // The store's records; see commit.
    Versioned<WaveRecord> m_wave;
    std::map<WorkerId, Versioned<HostRecord>> m_hosts;
    std::unordered_map<std::string, Versioned<LedgerRecord>> m_ledgers;
    BudgetTable m_budgets;
    std::vector<Leader> m_leaders;
    bool m_chaos = false;
    bool m_outage = false;
    std::map<WorkerId, RecordTime> m_downUntil;
    std::map<WorkerId, std::string> m_rebooting;
    std::set<std::string> m_attempts;
    std::set<std::string> m_finished;
    std::map<WorkerId, Mark> m_marks;
    // By worker and entry.
    std::map<WorkerId, std::vector<Mark>> m_seen;
    std::map<WorkerId, std::vector<unsigned>> m_inFlight;
};

} // namespace cyclamenlatch::maintenance
