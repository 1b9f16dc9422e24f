// The cost of the owner's planning on a large fleet, as counts of the examined targets and steps,
// which do not depend on the machine.
#include "scheduling/tests/fleetsimulation.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

// Number of targets in the default FleetShape.
constexpr std::uint64_t targets = std::uint64_t{4} * 230;

} // namespace

// On a fleet of 1,100 targets, with 100 jobs a second and four queues that had their peaks in turn,
// plans that examined every target and step used up the owner's processor.
TEST(LargeFleet, plansExamineOnlyTargetsAndStepsThatChanged)
{
    FleetSimulation simulation({});
    simulation.play(5s);
    const auto before = simulation.core.work();
    const auto keepAlives = simulation.keepAliveAnswers;
    const auto started = simulation.started();
    simulation.play(9s);
    const auto after = simulation.core.work();
    const auto plans = after.plans - before.plans;
    ASSERT_GT(plans, 1000U);
    EXPECT_GT(simulation.started() - started, 5000U);
    const auto examined = after.targetsExamined - before.targetsExamined;
    // Each target is examined ten times a second for changes that only time brings about, and once
    // for each answer.
    const std::uint64_t regular = targets * 9 * 11;
    EXPECT_LT(examined, regular + 2 * (simulation.keepAliveAnswers - keepAlives));
    // Steps are examined while they wait, not while they run.
    EXPECT_LT(after.stepsExamined - before.stepsExamined, 40 * plans);
}

// On the same fleet, 116,146 keep-alives were sent for 57,553 runs, since targets answered most of
// them at once with ends that were known and not stored yet.
TEST(LargeFleet, sendsLittleMoreThanTwoKeepAlivesForEachTask)
{
    FleetSimulation simulation({});
    simulation.play(5s);
    const auto keepAlives = simulation.keepAliveAnswers;
    const auto done = simulation.done();
    simulation.play(9s);
    // Each target gets a keep-alive every one and a half seconds in any case.
    const std::uint64_t regular = targets * 9 * 2 / 3;
    EXPECT_LT(simulation.keepAliveAnswers - keepAlives,
              regular + 5 * (simulation.done() - done) / 2);
}

// On a fleet of that size, the owner sent 10,874 keep-alives in the second after the store had
// become unavailable.
TEST(LargeFleet, sendsFewKeepAlivesWhileTheStoreIsUnavailable)
{
    FleetSimulation simulation({});
    simulation.play(5s);
    simulation.setStoreUnavailable(true);
    simulation.play(1s);
    const auto keepAlives = simulation.keepAliveAnswers;
    simulation.play(2s);
    EXPECT_LT(simulation.keepAliveAnswers - keepAlives, targets * 2 * 5);
}

TEST(LargeFleet, startsTheTasksOfAPeakAtOnce)
{
    FleetSimulation simulation({});
    simulation.play(12s);
    EXPECT_GT(simulation.startedWithin(200ms), 0.95);
}

} // namespace cyclamenlatch::scheduling::tests
