// Three entries over the same minions, in virtual time.
#include "bench/entriessimulation.h"
#include "bench/simulatedfleet.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::bench {
namespace {

constexpr unsigned entries = 3;
constexpr unsigned slots = 8;
constexpr Duration length = std::chrono::seconds(30);
constexpr Duration timeout = std::chrono::seconds(2);
constexpr Duration meanWork = std::chrono::milliseconds(200);

// More than ten minions hold, through all entries.
void submitAll(EntriesSimulation &simulation, std::uint64_t seed)
{
    Random random(seed);
    const auto gap = std::chrono::milliseconds(2);
    for (Duration at{0}; at < length; at += exponential(gap, random)) {
        simulation.submitAt(
                at, uniformBelow(random, entries),
                {QueueId("q-0"), WorkspaceId("drivers"), exponential(meanWork, random), timeout});
    }
}

TEST(SharedMinions, runHardlyMoreThanTheirSlotsInAll)
{
    EntriesSimulation simulation(makeFleet(1, 10, slots, false, 2), entries, Exchange::Digests, 1);
    simulation.countFrom(std::chrono::seconds(2));
    submitAll(simulation, 1);
    simulation.runUntil(length);
    EXPECT_LT(simulation.use().overShare(), 0.02);
    EXPECT_LE(simulation.use().mostRunning, slots + entries);
    // All slots are used most of the time.
    EXPECT_GT(simulation.use().runningSeconds, 0.9 * 10 * slots * 28);
}

TEST(SharedMinions, goOnServingAnEntryThatIsCutOff)
{
    EntriesSimulation simulation(makeFleet(1, 10, slots, false, 2), entries, Exchange::Digests, 1);
    submitAll(simulation, 1);
    simulation.cutOffAt(std::chrono::seconds(10), 0);
    simulation.runUntil(std::chrono::seconds(10));
    const auto before = simulation.started(0);
    simulation.runUntil(std::chrono::seconds(20));
    EXPECT_GT(simulation.started(0), before + 1000);
}

} // namespace
} // namespace cyclamenlatch::bench
