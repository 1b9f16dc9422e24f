// What the owner's decisions cost on a large fleet: counts of what a plan looks at, which don't
// depend on the machine.
#include "scheduling/tests/fleetsimulation.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

// Of the fleet as FleetShape describes it.
constexpr std::uint64_t targets = std::uint64_t{4} * 230;

} // namespace

// fqcc-berth-large, quiet-1: 1,100 targets, 100 jobs a second in turns of four queues. A plan that
// looks at all that exists costs the owner its processor; it should look at what changed.
TEST(LargeFleet, plansLookAtWhatChangedAndNotAtAllThatExists)
{
    FleetSimulation simulation({});
    simulation.play(5s);
    const auto before = simulation.core.work();
    const auto holds = simulation.holds;
    const auto started = simulation.started();
    simulation.play(9s);
    const auto after = simulation.core.work();
    const auto plans = after.plans - before.plans;
    ASSERT_GT(plans, 1000U);
    EXPECT_GT(simulation.started() - started, 5000U);
    const auto looked = after.targetsExamined - before.targetsExamined;
    // Each target ten times a second for what only time brings about, and once for each answer.
    const std::uint64_t regular = targets * 9 * 11;
    EXPECT_LT(looked, regular + 2 * (simulation.holds - holds));
    // Steps that wait are looked at while they wait, not those that run.
    EXPECT_LT(after.stepsExamined - before.stepsExamined, 40 * plans);
}

// The same day: 116,146 calls for lists to 57,553 runs, most of them for ends that were known and
// waited to be stored.
TEST(LargeFleet, asksATargetLittleMoreThanTwiceForEachTask)
{
    FleetSimulation simulation({});
    simulation.play(5s);
    const auto holds = simulation.holds;
    const auto done = simulation.done();
    simulation.play(9s);
    // Each target once in a second and a half in any case.
    const std::uint64_t regular = targets * 9 * 2 / 3;
    EXPECT_LT(simulation.holds - holds, regular + 5 * (simulation.done() - done) / 2);
}

// fqcc-berth-large, scale-2: 10,874 calls in the second after the owner had lost the store.
TEST(LargeFleet, asksTargetsSeldomWhileNothingCanBeStored)
{
    FleetSimulation simulation({});
    simulation.play(5s);
    simulation.setStoreAway(true);
    simulation.play(1s);
    const auto holds = simulation.holds;
    simulation.play(2s);
    EXPECT_LT(simulation.holds - holds, targets * 2 * 5);
}

TEST(LargeFleet, startsTheWorkOfAPoolsTurnAtOnce)
{
    FleetSimulation simulation({});
    simulation.play(12s);
    EXPECT_GT(simulation.startedWithin(200ms), 0.95);
}

} // namespace cyclamenlatch::scheduling::tests
