// Waves and entries that end or begin, with real processes: who is waited for, and that a new entry
// knows what is leaving before it sends anything.
#include "global/time.h"
#include "maintenance/recordjson.h"
#include "tests/capacity/fleetprocesses.h"

#include <csignal>

namespace cyclamenlatch {
namespace {

using maintenance::EntryPresence;
using maintenance::HostStep;
using testing::FleetProcesses;

const WaveId wave("wave-1");

std::string document(const std::vector<std::string> &minions)
{
    std::string workers;
    for (std::size_t index = 0; index < minions.size(); ++index) {
        workers += fmt::format("  - {{name: w-{0}, dataCentre: dc-a, rack: r-{0}, pool: swaps, "
                               "minion: \"{1}\", slots: 2}}\n",
                               index, minions[index]);
    }
    return "dataCentres: [{name: dc-a}, {name: dc-b}]\n"
           "pools: [{name: swaps}]\n"
           "services: [{name: swaps, pool: swaps}]\n"
           "queues: [{name: q, service: swaps, open: true, timeoutMs: 5000}]\n"
           "workers:\n"
           + workers;
}

void startWave(FleetProcesses &fleet)
{
    maintenance::WaveRecord record;
    record.wave = wave;
    record.settings.slowStart = std::chrono::milliseconds(100);
    record.started = record.resumed = wallNow().time_since_epoch().count();
    record.hosts = {WorkerId("w-0"), WorkerId("w-1")};
    fleet.put(maintenance::waveKey(wave), maintenance::writeRecord(record));
}

bool isDone(FleetProcesses &fleet)
{
    const auto record = maintenance::readWaveRecord(fleet.stored(maintenance::waveKey(wave)).first);
    return record && record.value().state == maintenance::WaveState::Done;
}

std::vector<EntryId> awaited(FleetProcesses &fleet)
{
    const auto key = maintenance::waitKey(DataCentreId("dc-a"));
    const auto record = maintenance::readWaitRecord(fleet.stored(key).first);
    return record ? record.value().entries : std::vector<EntryId>();
}

maintenance::EntryRecord recordOf(FleetProcesses &fleet, const EntryId &entry)
{
    return maintenance::readEntryRecord(fleet.stored(maintenance::entryKey(entry)).first).value();
}

TEST(EntriesGone, AnEntryThatLeftInPeaceIsNotWaitedFor)
{
    FleetProcesses fleet(2, 2, document);
    fleet.addHosts();
    fleet.startEntry(0);
    fleet.startEntry(1);
    fleet.entry(1).kill(SIGTERM);
    EXPECT_EQ(recordOf(fleet, EntryId("e-1")).presence, EntryPresence::Left);
    startWave(fleet);
    FleetProcesses::await([&] { return isDone(fleet); });
    EXPECT_EQ(fleet.ledgerOf(0, "reboots"), 1U);
    EXPECT_EQ(fleet.ledgerOf(1, "reboots"), 1U);
}

TEST(EntriesGone, ASilentEntryIsWaitedForUntilSomebodySaysThatItIsGone)
{
    FleetProcesses fleet(2, 2, document);
    fleet.addHosts();
    fleet.startEntry(0);
    fleet.startEntry(1);
    fleet.entry(1).kill(SIGKILL);
    startWave(fleet);
    const EntryId silent("e-1");
    FleetProcesses::await([&] { return awaited(fleet) == std::vector<EntryId>{silent}; });
    EXPECT_EQ(fleet.ledgerOf(0, "reboots") + fleet.ledgerOf(1, "reboots"), 0U);
    EXPECT_FALSE(isDone(fleet));
    auto record = recordOf(fleet, silent);
    EXPECT_EQ(record.presence, EntryPresence::Present);
    record.presence = EntryPresence::Gone;
    fleet.put(maintenance::entryKey(silent), maintenance::writeRecord(record));
    FleetProcesses::await([&] { return isDone(fleet); });
    EXPECT_EQ(fleet.ledgerOf(0, "reboots"), 1U);
    EXPECT_EQ(fleet.ledgerOf(1, "reboots"), 1U);
}

TEST(EntriesGone, ANewEntrySendsNothingToWhatIsLeaving)
{
    FleetProcesses fleet(1, 2, document);
    // A host of a data centre that no entry leads, so that it stays where it is.
    maintenance::HostRecord host;
    host.wave = wave;
    host.worker = WorkerId("w-0");
    host.dataCentre = DataCentreId("dc-b");
    host.step = HostStep::Rebooting;
    fleet.put(maintenance::hostKey(wave, host.worker), maintenance::writeRecord(host));
    fleet.startEntry(0);
    constexpr unsigned requests = 40;
    for (unsigned index = 0; index < requests; ++index) {
        EXPECT_EQ(fleet.status("POST", fleet.url(0) + "/v1/queues/q/requests", "{}"), 200);
    }
    EXPECT_EQ(fleet.ledgerOf(0, "runs"), 0U);
    EXPECT_EQ(fleet.ledgerOf(1, "runs"), requests);
}

} // namespace
} // namespace cyclamenlatch
