// Tests of the wave machine: budgets, exactly one reboot per host, and progress through crashes,
// pauses, take-overs, lost answers, store outages and failures during the wave.
#include "global/tests/propertyparts.h"
#include "maintenance/tests/wavesimulation.h"
#include "maintenance/waveprogress.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenlatch::maintenance {
namespace {

constexpr unsigned manyTicks = 4000;
constexpr unsigned chaosTicks = 400;

SimulationSettings calmSettings()
{
    SimulationSettings settings;
    settings.wave.slowStart = std::chrono::milliseconds(1000);
    settings.wave.rebootDeadline = std::chrono::milliseconds(30000);
    return settings;
}

SimulationSettings chaoticSettings()
{
    auto settings = calmSettings();
    settings.staleChance = 0.3;
    settings.crashChance = 0.1;
    settings.outageChance = 0.02;
    settings.lostWriteChance = 0.1;
    return settings;
}

void expectWhole(const WaveSimulation &simulation)
{
    for (const auto &fault : simulation.faults) {
        ADD_FAILURE() << fault;
    }
    for (const auto &worker : simulation.fleet.workers) {
        const auto found = simulation.reboots.find(worker.id);
        EXPECT_EQ(found == simulation.reboots.end() ? 0U : found->second, 1U) << worker.id.value();
    }
}

TEST(WavePlanner, TakesEachHostOnceWithinTheBudget)
{
    WaveSimulation simulation(calmSettings(), 1);
    EXPECT_TRUE(simulation.run(manyTicks, 0));
    expectWhole(simulation);
    for (const auto &[worker, host] : simulation.hosts()) {
        EXPECT_EQ(host.record.step, HostStep::Done) << worker.value();
    }
}

TEST(WavePlanner, BoundsTheHostsOfARack)
{
    auto settings = calmSettings();
    settings.wave.perRack = 1;
    WaveSimulation simulation(settings, 2);
    EXPECT_TRUE(simulation.run(manyTicks, 0));
    expectWhole(simulation);
}

TEST(WavePlanner, PausesOnFailuresThatComeTogetherAndSaysWhy)
{
    WaveSimulation simulation(calmSettings(), 3);
    for (unsigned tick = 0; tick < 20; ++tick) {
        simulation.step();
    }
    for (const char *worker : {"w-3", "w-4", "w-5"}) {
        simulation.fail(WorkerId(worker), simulation.now + 100000);
    }
    for (unsigned tick = 0; tick < 20; ++tick) {
        simulation.step();
    }
    EXPECT_EQ(simulation.wave().state, WaveState::Paused);
    EXPECT_NE(simulation.wave().reason.find("failed within"), std::string::npos);
    const auto rebooted = simulation.reboots;
    for (unsigned tick = 0; tick < 40; ++tick) {
        simulation.step();
    }
    EXPECT_EQ(simulation.reboots, rebooted) << "a paused wave took a host";
    EXPECT_TRUE(simulation.faults.empty());
}

TEST(WavePlanner, SetsAsideAHostThatDoesNotComeBack)
{
    auto settings = calmSettings();
    settings.neverBackChance = 0.1;
    settings.maxUnavailable = 3;
    settings.wave.failuresToPause = 100;
    WaveSimulation simulation(settings, 5);
    simulation.run(manyTicks, 0);
    unsigned setAside = 0;
    for (const auto &[worker, host] : simulation.hosts()) {
        setAside += host.record.step == HostStep::SetAside ? 1 : 0;
    }
    EXPECT_GT(setAside, 0U);
    EXPECT_TRUE(simulation.faults.empty());
}

TEST(WavePlanner, PausedAndResumedWaveStillFinishes)
{
    auto settings = calmSettings();
    settings.failureChance = 0.002;
    WaveSimulation simulation(settings, 6);
    EXPECT_TRUE(simulation.run(manyTicks, chaosTicks));
    expectWhole(simulation);
}

void holdThroughCrashesPausesAndLostAnswers()
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto settings = chaoticSettings();
    settings.dataCentres = *rc::gen::inRange(1U, 4U);
    settings.maxUnavailable = *rc::gen::inRange(1U, 4U);
    settings.wave.perRack = *rc::gen::inRange(0U, 3U);
    WaveSimulation simulation(settings, seed);
    RC_ASSERT(simulation.run(manyTicks, chaosTicks));
    for (const auto &fault : simulation.faults) {
        RC_FAIL(fault);
    }
    for (const auto &worker : simulation.fleet.workers) {
        RC_ASSERT(simulation.reboots[worker.id] == 1U);
    }
}

void countFailuresThatArriveDuringTheWave()
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto settings = chaoticSettings();
    settings.failureChance = 0.003;
    WaveSimulation simulation(settings, seed);
    RC_ASSERT(simulation.run(manyTicks, chaosTicks));
    for (const auto &fault : simulation.faults) {
        RC_FAIL(fault);
    }
    for (const auto &worker : simulation.fleet.workers) {
        RC_ASSERT(simulation.reboots[worker.id] == 1U);
    }
}

class WavePlannerFaults : public PropertyPart
{};

TEST_P(WavePlannerFaults, HoldsThroughCrashesPausesAndLostAnswers)
{
    check(&holdThroughCrashesPausesAndLostAnswers);
}

TEST_P(WavePlannerFaults, CountsFailuresThatArriveDuringTheWave)
{
    check(&countFailuresThatArriveDuringTheWave);
}

INSTANTIATE_TEST_SUITE_P(Parts, WavePlannerFaults, ::testing::Range(0, propertyParts));

TEST(WaveOrder, TakesTheLongestChainFirst)
{
    auto settings = calmSettings();
    WaveSimulation simulation(settings, 1);
    simulation.fleet.services[1].maxUnavailable = 1;
    const auto order = orderHosts(simulation.fleet, fleet::Selector(), settings.wave);
    ASSERT_EQ(order.size(), 12U);
    EXPECT_EQ(simulation.fleet.findWorker(order.front())->pool, PoolId("s-1"));
}

TEST(RecordJson, ReadsWhatItWrites)
{
    WaveRecord wave;
    wave.wave = WaveId("wave-7");
    wave.selector = "pool=swaps";
    wave.state = WaveState::Paused;
    wave.reason = "3 hosts failed";
    wave.settings.perRack = 2;
    wave.hosts = {WorkerId("w-1"), WorkerId("w-2")};
    EXPECT_EQ(readWaveRecord(writeRecord(wave)).value(), wave);

    HostRecord host{WaveId("wave-7"),
                    WorkerId("w-1"),
                    DataCentreId("dc-a"),
                    HostStep::Rebooting,
                    12,
                    11,
                    "note"};
    EXPECT_EQ(readHostRecord(writeRecord(host)).value(), host);

    LedgerRecord ledger;
    ledger.claims = {{WorkerId("w-1"), WaveId("wave-7")}};
    ledger.outages = {{WorkerId("w-2"), DataCentreId("dc-b"), 5}};
    EXPECT_EQ(readLedgerRecord(writeRecord(ledger)).value(), ledger);
    EXPECT_FALSE(readLedgerRecord("{}").has_value());
    EXPECT_FALSE(readHostRecord("nonsense").has_value());
}

} // namespace
} // namespace cyclamenlatch::maintenance
