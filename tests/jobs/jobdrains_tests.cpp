// A job on a worker that a maintenance wave takes, with real processes.
#include "global/time.h"
#include "maintenance/recordjson.h"
#include "tests/capacity/fleetprocesses.h"

namespace cyclamenlatch {
namespace {

using testing::FleetProcesses;

std::string document(const std::vector<std::string> &minions)
{
    std::string workers;
    for (std::size_t index = 0; index < minions.size(); ++index) {
        workers += fmt::format("  - {{name: w-{0}, dataCentre: dc-a, rack: r-{0}, pool: p, "
                               "minion: \"{1}\", processors: 8}}\n",
                               index, minions[index]);
    }
    // The hash is the BLAKE2b-256 of "secret".
    return "dataCentres: [{name: dc-a}]\n"
           "pools: [{name: p}]\n"
           "services: [{name: s, pool: p}]\n"
           "queues: [{name: q, service: s}]\n"
           "workspaces: [{name: drivers, limit: 4}]\n"
           "keys: [{name: k-1, workspace: drivers, hash: "
           "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e}]\n"
           "workers:\n"
           + workers;
}

TEST(JobDrains, aJobMovesBeforeItsWorkerIsRebooted)
{
    FleetProcesses fleet(1, 2, document);
    fleet.addHosts();
    fleet.startEntry(0);
    fleet.useKey("k-1.secret");
    const auto jobUrl = [&](const std::string &id) { return fleet.url(0) + "/v1/jobs/" + id; };
    const auto id = fleet.submitJob(0, "q", R"({"runMs": 8000})");
    FleetProcesses::await([&] { return fleet.get(jobUrl(id)).value("state", "") == "running"; });
    maintenance::WaveRecord wave;
    wave.wave = WaveId("wave-1");
    wave.settings.slowStart = std::chrono::milliseconds(100);
    wave.started = wave.resumed = wallNow().time_since_epoch().count();
    wave.hosts = {WorkerId("w-0"), WorkerId("w-1")};
    fleet.put(maintenance::waveKey(wave.wave), maintenance::writeRecord(wave));
    // While a worker reboots, the job is nowhere on it.
    bool isDone = false;
    while (!isDone) {
        for (const auto &worker : wave.hosts) {
            const auto key = maintenance::hostKey(wave.wave, worker);
            const auto before = maintenance::readHostRecord(fleet.stored(key).first);
            const auto job = fleet.get(jobUrl(id));
            const auto after = maintenance::readHostRecord(fleet.stored(key).first);
            const bool reboots = before && after
                                 && before.value().step == maintenance::HostStep::Rebooting
                                 && after.value().step == maintenance::HostStep::Rebooting;
            const bool isThere = job.value("worker", "") == worker.value()
                                 && job.value("state", "") == "running";
            EXPECT_FALSE(reboots && isThere) << worker.value();
        }
        const auto stored = fleet.stored(maintenance::waveKey(wave.wave)).first;
        isDone = maintenance::readWaveRecord(stored).value().state == maintenance::WaveState::Done;
    }
    EXPECT_EQ(fleet.ledgerOf(0, "reboots") + fleet.ledgerOf(1, "reboots"), 2U);
    FleetProcesses::await([&] { return fleet.get(jobUrl(id)).value("state", "") == "completed"; });
    EXPECT_GE(fleet.get(jobUrl(id)).value("attempt", 0), 2);
    EXPECT_EQ(fleet.get(jobUrl(id)).value("failures", 1), 0);
}

} // namespace
} // namespace cyclamenlatch
