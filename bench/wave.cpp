// Roll-out time of a wave on a virtual clock against the lower bound that budgets and reboot
// times allow, and against one host at a time; budget breaches with failures in between; and the
// time of one planning pass. The bound is, over the services, the sum of its hosts' times divided
// by its places; no schedule is shorter.
#include "bench/figure.h"
#include "global/random.h"
#include "global/time.h"
#include "maintenance/hostorder.h"
#include "maintenance/recordjson.h"
#include "maintenance/waveplanner.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <map>

DEFINE_uint64(seed, 1, "seed of the run");

namespace cyclamenlatch::bench {

namespace {

using namespace maintenance;

constexpr RecordTime tick = 500;
constexpr RecordTime leastReboot = 90000;
constexpr RecordTime leastDrain = 500;
constexpr std::uint32_t rebootSpread = 60000;
constexpr std::uint32_t drainSpread = 2000;
constexpr RecordTime failureLength = 300000;
constexpr RecordTime longestRun = 24L * 3600 * 1000;

struct Size
{
    std::string users;
    unsigned dataCentres = 3;
    unsigned pools = 5;
    unsigned workers = 50;
    unsigned maxUnavailable = 2;
    double rollOutWeight = 1;
    double movesWeight = 1;
    // Failures of one host in a day.
    double failuresPerDay = 0;
};

fleet::FleetDocument makeFleet(const Size &size)
{
    fleet::FleetDocument fleet;
    for (unsigned index = 0; index < size.dataCentres; ++index) {
        fleet.dataCentres.push_back({DataCentreId("dc-" + std::to_string(index)), "r"});
    }
    for (unsigned index = 0; index < size.pools; ++index) {
        const auto name = "p-" + std::to_string(index);
        fleet.pools.push_back({PoolId(name), index + 1 == size.pools});
        fleet.services.push_back({ServiceId(name), PoolId(name), size.maxUnavailable, 0.999});
    }
    for (unsigned index = 0; index < size.workers; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId("w-" + std::to_string(index));
        worker.dataCentre = fleet.dataCentres[index % size.dataCentres].id;
        worker.rack = RackId("r-" + std::to_string(index / size.dataCentres / 4) + "-"
                             + worker.dataCentre.value());
        worker.pool = fleet.pools[index % size.pools].id;
        fleet.workers.push_back(worker);
    }
    return fleet;
}

struct HostTimes
{
    RecordTime drain = 0;
    RecordTime reboot = 0;
};

class WaveRun
{
public:
    WaveRun(const Size &size, std::uint64_t seed)
        : m_size(size)
        , m_random(seed)
        , m_fleet(makeFleet(size))
    {
        auto &wave = m_view.wave.record;
        wave.wave = WaveId("w");
        wave.settings.rollOutWeight = size.rollOutWeight;
        wave.settings.movesWeight = size.movesWeight;
        wave.settings.failuresToPause = size.workers;
        wave.started = wave.resumed = m_now;
        wave.hosts = orderHosts(m_fleet, fleet::Selector(), wave.settings);
        m_view.wave.revision = ++m_revision;
        m_view.budgets = budgetsOf(m_fleet, wave.settings);
        for (const auto &worker : m_fleet.workers) {
            m_view.placement[worker.id] = worker.dataCentre;
            m_times[worker.id] = {leastDrain + uniformBelow(m_random, drainSpread),
                                  leastReboot + uniformBelow(m_random, rebootSpread)};
        }
    }

    void run()
    {
        const auto started = m_now;
        while (m_view.wave.record.state != WaveState::Done && m_now - started < longestRun) {
            m_now += tick;
            observe();
            for (const auto &dataCentre : m_fleet.dataCentres) {
                m_view.dataCentre = dataCentre.id;
                const auto before = steadyNow();
                const auto actions = planWave(m_view, m_now);
                m_longestPass = std::max(m_longestPass, steadyNow() - before);
                for (const auto &action : actions) {
                    std::visit([this](const auto &what) { apply(what); }, action);
                }
            }
        }
        m_rollOut = m_now - started;
    }

    double rollOutSeconds() const { return static_cast<double>(m_rollOut) / 1000; }
    unsigned breaches() const { return m_breaches; }
    double longestPassMs() const { return toSeconds(m_longestPass) * 1000; }
    std::size_t rebootedOnce() const
    {
        return static_cast<std::size_t>(std::count_if(m_reboots.begin(), m_reboots.end(),
                                                      [](const auto &x) { return x.second == 1; }));
    }

    double boundSeconds() const
    {
        double bound = 0;
        for (const auto &budget : m_view.budgets.budgets) {
            double sum = 0;
            for (const auto &member : budget.members) {
                sum += hostSeconds(member);
                bound = std::max(bound, hostSeconds(member));
            }
            bound = std::max(bound, sum / budget.maxOut);
        }
        return bound;
    }

    double oneAtATimeSeconds() const
    {
        double sum = 0;
        for (const auto &worker : m_fleet.workers) {
            sum += hostSeconds(worker.id);
        }
        return sum;
    }

private:
    double hostSeconds(const WorkerId &worker) const
    {
        const auto &times = m_times.at(worker);
        const auto total =
                times.drain + times.reboot + m_view.wave.record.settings.slowStart.count();
        return static_cast<double>(total) / 1000;
    }

    void observe()
    {
        const auto chance = m_size.failuresPerDay * tick / 86400000.0;
        for (const auto &worker : m_fleet.workers) {
            if (chance > 0 && m_rebootEnds[worker.id] <= m_now && uniformReal(m_random) < chance) {
                m_failedUntil[worker.id] = m_now + failureLength;
            }
        }
        auto &observed = m_view.observed;
        observed.unhealthy.clear();
        observed.quiet.clear();
        for (const auto &worker : m_fleet.workers) {
            const auto &end = m_rebootEnds[worker.id];
            if (end > m_now || m_failedUntil[worker.id] > m_now) {
                observed.unhealthy.insert(worker.id);
            } else if (end > 0) {
                observed.finishedReboots.insert("w." + worker.id.value());
            }
        }
        for (const auto &[worker, host] : m_view.hosts) {
            if (host.record.step == HostStep::Leaving
                && m_now - host.record.since >= m_times[worker].drain) {
                observed.quiet[worker] = host.revision;
            }
        }
    }

    void apply(const store::StoreWrite &write)
    {
        if (write.key.starts_with(hostPrefix)) {
            const auto record = readHostRecord(write.value).value();
            m_view.hosts[record.worker] = {record, ++m_revision};
            if (record.step == HostStep::Leaving || record.step == HostStep::Rebooting) {
                checkBudget(record.worker);
            }
        } else if (write.key.starts_with(ledgerPrefix)) {
            m_view.ledgers[write.key.substr(std::string_view(ledgerPrefix).size())] = {
                    readLedgerRecord(write.value).value(), ++m_revision};
        } else {
            m_view.wave = {readWaveRecord(write.value).value(), ++m_revision};
        }
    }

    void apply(const RebootRequest &request)
    {
        if (m_rebootEnds[request.worker] == 0) {
            ++m_reboots[request.worker];
            m_rebootEnds[request.worker] = m_now + m_times[request.worker].reboot;
        }
    }

    // Counts a step that is taken although too many are out with it.
    void checkBudget(const WorkerId &worker)
    {
        for (const auto index : m_view.budgets.touched[worker]) {
            const auto &budget = m_view.budgets.budgets[index];
            const auto out = std::count_if(
                    budget.members.begin(), budget.members.end(), [this](const WorkerId &member) {
                        const auto host = m_view.hosts.find(member);
                        const bool leaving =
                                host != m_view.hosts.end() && isLeaving(host->second.record.step);
                        return leaving || m_view.observed.unhealthy.contains(member);
                    });
            m_breaches += static_cast<unsigned>(out) > budget.maxOut ? 1 : 0;
        }
    }

    const Size m_size;
    Random m_random;
    fleet::FleetDocument m_fleet;
    WaveView m_view;
    RecordTime m_now = 1000000;
    store::StoreRevision m_revision = 0;
    std::map<WorkerId, HostTimes> m_times;
    std::map<WorkerId, RecordTime> m_rebootEnds;
    std::map<WorkerId, RecordTime> m_failedUntil;
    std::map<WorkerId, unsigned> m_reboots;
    Duration m_longestPass{};
    RecordTime m_rollOut = 0;
    unsigned m_breaches = 0;
};

void measure(const Size &size)
{
    WaveRun run(size, FLAGS_seed);
    run.run();
    const auto one = run.oneAtATimeSeconds();
    const auto bound = run.boundSeconds();
    const auto name = [&](const char *figure) { return size.users + "." + figure; };
    print({"wave", name("roll-out"), run.rollOutSeconds(), "s", one, "", FLAGS_seed});
    print({"wave", name("roll-out-over-bound"), run.rollOutSeconds() / bound, "ratio", one / bound,
           size.failuresPerDay > 0 ? "" : "<= 1.25", FLAGS_seed});
    print({"wave", name("budget-breaches"), static_cast<double>(run.breaches()), "steps", 0, "0",
           FLAGS_seed});
    print({"wave", name("rebooted-once"), static_cast<double>(run.rebootedOnce()), "hosts",
           static_cast<double>(size.workers), std::to_string(size.workers), FLAGS_seed});
    print({"wave", name("longest-pass"), run.longestPassMs(), "ms", 0, "< 50", FLAGS_seed});
}

} // namespace

} // namespace cyclamenlatch::bench

int main(int argc, char **argv)
{
    using cyclamenlatch::bench::measure;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure({"fremantle", 3, 5, 50, 2, 2, 2, 0});
    measure({"bep-chung", 3, 5, 50, 2, 1, 1, 0});
    // Many more failures than on an ordinary day, so that some fall into the wave.
    measure({"fremantle-failures", 3, 5, 50, 2, 2, 2, 12});
    measure({"letter-1", 4, 150, 1300, 2, 1, 1, 0});
    return 0;
}
