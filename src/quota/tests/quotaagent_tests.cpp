// No more runs than the limit whatever fails, and units follow demand when the network does not.
#include "global/tests/propertyparts.h"
#include "quota/tests/quotaworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenlatch::quota {
namespace {

constexpr Duration settleTime = std::chrono::seconds(2);
constexpr unsigned limit = 60;
// The stated target; under a flood a few units are on their way at any moment.
constexpr unsigned usable = limit * 95 / 100;
constexpr unsigned entries = 6;
constexpr unsigned dataCentres = 3;

QuotaWorld settledWorld(std::uint64_t seed)
{
    QuotaWorld world(entries, dataCentres, seed);
    world.setLimit(limit);
    world.run(settleTime);
    return world;
}

TEST(QuotaAgent, unitsFollowDemandWithinTwoSeconds)
{
    auto world = settledWorld(1);
    for (unsigned index = 0; index < entries; ++index) {
        world.demand(index, 3 * limit);
        world.run(settleTime);
        EXPECT_GE(world.running(index), usable) << "entry " << index;
        EXPECT_LE(world.totalRunning(), limit);
        world.demand(index, 0);
    }
}

TEST(QuotaAgent, everyEntryGetsUnitsWhileAllAskForMore)
{
    auto world = settledWorld(2);
    world.demand(0, limit);
    world.run(settleTime);
    for (unsigned index = 0; index < entries; ++index) {
        world.demand(index, limit);
    }
    world.run(settleTime * 2);
    for (unsigned index = 0; index < entries; ++index) {
        EXPECT_GT(world.running(index), 0U) << "entry " << index;
    }
}

TEST(QuotaAgent, gracefulLeaveLocksNothing)
{
    auto world = settledWorld(3);
    world.demand(0, limit);
    world.run(settleTime);
    world.leave(0);
    world.demand(1, limit);
    world.run(settleTime);
    EXPECT_FALSE(world.alive(0));
    EXPECT_EQ(world.running(1), limit);
}

TEST(QuotaAgent, lastEntryHandsUnitsBackToStore)
{
    auto world = settledWorld(4);
    for (unsigned index = 0; index < entries; ++index) {
        world.leave(index);
    }
    world.run(settleTime * 4);
    EXPECT_EQ(world.ledger().out(), 0U);
}

TEST(QuotaAgent, killedEntrysUnitsReturnOnlyAfterItsLongestWork)
{
    auto world = settledWorld(5);
    world.demand(0, limit);
    world.run(settleTime);
    ASSERT_EQ(world.running(0), limit);
    world.kill(0);
    world.demand(1, limit);
    world.run(worldLongestWork * 3);
    EXPECT_EQ(world.running(1), 0U) << "without a proof nothing may be freed";
    world.start(0);
    world.run(worldLongestWork / 2);
    EXPECT_EQ(world.running(1), 0U) << "the work may still run";
    world.run(worldLongestWork + settleTime);
    EXPECT_EQ(world.running(1), limit);
}

// Kills entry 0 while it and entry 1 run half of the limit each; entry 2 wants all and may share
// what entry 1 has.
QuotaWorld worldWithDeadEntry(std::uint64_t seed)
{
    auto world = settledWorld(seed);
    world.demand(0, limit / 2);
    world.demand(1, limit / 2);
    world.run(settleTime);
    EXPECT_EQ(world.running(0), limit / 2);
    EXPECT_EQ(world.running(1), limit / 2);
    world.replaceHost(0);
    world.demand(2, limit);
    world.run(worldStep);
    return world;
}

unsigned runningAtTheLiving(const QuotaWorld &world)
{
    return world.running(1) + world.running(2);
}

// Exactly what entry 0 had becomes usable, after its longest work.
void expectFreedAfterLongestWork(QuotaWorld &world)
{
    for (Duration passed{}; passed < worldLongestWork / 2; passed += worldStep) {
        world.step();
        ASSERT_LE(runningAtTheLiving(world), limit / 2) << "the work may still run";
    }
    for (Duration passed{}; passed < worldLongestWork * 2; passed += worldStep) {
        world.step();
        ASSERT_LE(world.totalRunning(), limit);
    }
    EXPECT_EQ(world.ledger().out(), limit);
    EXPECT_GE(runningAtTheLiving(world), usable);
}

TEST(QuotaAgent, operatorsWordFreesALostEntrysUnits)
{
    auto world = worldWithDeadEntry(10);
    world.run(worldLongestWork * 3);
    EXPECT_LE(runningAtTheLiving(world), limit / 2) << "without a proof nothing may be freed";
    const auto first = world.say(2, EntryId("e-0"));
    ASSERT_TRUE(first);
    EXPECT_EQ(first.value().holders, 1U);
    EXPECT_FALSE(first.value().recorded) << "the store has not taken it yet";
    world.run(worldStep * 10);
    EXPECT_TRUE(world.say(3, EntryId("e-0")).value().recorded);
    expectFreedAfterLongestWork(world);
}

TEST(QuotaAgent, operatorsWordIsRefusedOfEntriesThatAreAlive)
{
    auto world = settledWorld(11);
    EXPECT_EQ(world.say(0, EntryId("e-1")).error().kind, ErrorKind::Conflict);
    EXPECT_EQ(world.say(0, EntryId("e-0")).error().kind, ErrorKind::Conflict);
    EXPECT_EQ(world.say(0, EntryId("e-9")).error().kind, ErrorKind::NotFound);
    // One of the data centre's two entries is dead, the other is alive.
    world.kill(1);
    world.run(settleTime);
    EXPECT_EQ(world.say(0, DataCentreId("dc-1")).error().kind, ErrorKind::Conflict);
    world.kill(4);
    world.run(settleTime);
    EXPECT_EQ(world.say(0, DataCentreId("dc-1")).value().holders, 2U);
}

TEST(QuotaAgent, operatorsWordDoesNotTouchALaterLife)
{
    auto world = worldWithDeadEntry(12);
    world.storeDown = true;
    ASSERT_TRUE(world.say(2, EntryId("e-0")));
    world.start(0);
    world.run(settleTime);
    world.storeDown = false;
    world.run(worldLongestWork * 3);
    world.demand(1, 0);
    world.demand(2, 0);
    world.demand(0, limit);
    world.run(settleTime * 2);
    EXPECT_GE(world.running(0), usable);
}

TEST(QuotaAgent, replacedHostFreesItsEntrysUnits)
{
    auto world = worldWithDeadEntry(13);
    world.run(settleTime);
    constexpr std::uint64_t beforeTheReplacement = 1;
    world.showHosts(beforeTheReplacement);
    world.run(worldLongestWork * 3);
    EXPECT_LE(runningAtTheLiving(world), limit / 2) << "a list from before proves nothing";
    world.showHosts();
    expectFreedAfterLongestWork(world);
}

TEST(QuotaAgent, anOldHostListDoesNotTouchTheLifeOnTheNewHost)
{
    auto world = worldWithDeadEntry(14);
    world.start(0);
    world.run(settleTime);
    world.kill(0);
    world.run(settleTime);
    constexpr std::uint64_t beforeTheReplacement = 1;
    world.showHosts(beforeTheReplacement);
    world.showHosts();
    world.run(worldLongestWork * 3);
    EXPECT_FALSE(world.say(2, EntryId("e-0")).value().recorded)
            << "the second life died on a host that was not replaced";
}

TEST(QuotaAgent, nothingIsMintedTwiceWhenAllEntriesRestart)
{
    auto world = settledWorld(6);
    for (unsigned index = 0; index < entries; ++index) {
        world.demand(index, limit);
    }
    world.run(settleTime);
    for (unsigned index = 0; index < entries; ++index) {
        world.kill(index);
        world.start(index);
        world.demand(index, limit);
    }
    for (Duration passed{}; passed < worldLongestWork * 4; passed += worldStep) {
        world.step();
        ASSERT_LE(world.totalRunning(), limit);
    }
    EXPECT_GE(world.totalRunning(), usable);
}

TEST(QuotaAgent, loweredLimitComesIntoForceUnderLoad)
{
    auto world = settledWorld(7);
    for (unsigned index = 0; index < entries; ++index) {
        world.demand(index, limit);
    }
    world.run(settleTime);
    world.setLimit(limit / 2);
    world.run(settleTime * 4);
    EXPECT_TRUE(world.ledger().inForce());
    EXPECT_LE(world.totalRunning(), limit / 2);
    world.setLimit(limit);
    world.run(settleTime * 2);
    EXPECT_GE(world.totalRunning(), usable);
}

TEST(QuotaAgent, isolatedDataCentreGoesOnWithWhatItHolds)
{
    auto world = settledWorld(8);
    world.cut.insert(0);
    world.demand(0, limit);
    world.demand(1, limit);
    world.run(settleTime * 2);
    EXPECT_EQ(world.running(0), limit / dataCentres);
    EXPECT_EQ(world.running(1), limit - limit / dataCentres);
}

TEST(QuotaAgent, unitsAreTradedWhileTheStoreIsDown)
{
    auto world = settledWorld(9);
    world.storeDown = true;
    world.demand(2, limit);
    world.run(settleTime);
    EXPECT_GE(world.running(2), usable);
}

// Mean of the work running over a while, in units.
double meanRunning(QuotaWorld &world)
{
    constexpr unsigned steps = 100;
    double sum = 0;
    for (unsigned step = 0; step < steps; ++step) {
        world.step();
        sum += world.totalRunning();
    }
    return sum / steps;
}

// An operator says the truth of one entry to all others.
void sayOfDead(QuotaWorld &world, unsigned index)
{
    if (world.alive(index)) {
        return;
    }
    for (unsigned to = 0; to < entries; ++to) {
        if (world.alive(to)) {
            static_cast<void>(world.say(to, EntryId("e-" + std::to_string(index))));
        }
    }
}

void applyFault(QuotaWorld &world, unsigned fault, unsigned index, unsigned amount)
{
    switch (fault) {
    case 0:
        return world.demand(index, amount);
    case 1:
        return world.pause(index, true);
    case 2:
        return world.pause(index, false);
    case 3:
        return world.kill(index);
    case 4:
        return world.start(index);
    case 5:
        return world.setLimit(amount);
    case 6:
        world.cut.insert(index % dataCentres);
        return;
    case 7:
        return world.cut.clear();
    case 8:
        world.storeDown = !world.storeDown;
        return;
    case 9:
        return world.leave(index);
    case 10:
        world.replaceHost(index);
        return;
    case 11:
        world.showHosts(amount % 2);
        return;
    case 12:
        return sayOfDead(world, index);
    default:
        return;
    }
}

void runNeverMoreThanIsGivenOut(std::uint64_t seed)
{
    constexpr unsigned faults = 120;
    constexpr unsigned faultKinds = 14;
    Random random(seed);
    QuotaWorld world(entries, dataCentres, seed);
    world.lossPercent = uniformBelow(random, 40);
    world.repeatPercent = uniformBelow(random, 40);
    world.maxDelaySteps = 1 + uniformBelow(random, 20);
    world.loseAnswerPercent = uniformBelow(random, 40);
    world.setLimit(limit);
    for (unsigned fault = 0; fault < faults; ++fault) {
        applyFault(world, uniformBelow(random, faultKinds), uniformBelow(random, entries),
                   uniformBelow(random, 2 * limit));
        const auto steps = uniformBelow(random, 20);
        for (unsigned step = 0; step < steps; ++step) {
            const auto before = world.ledger().out();
            world.step();
            const auto &ledger = world.ledger();
            RC_ASSERT(ledger.out() <= std::max(before, ledger.limit));
            RC_ASSERT(world.totalRunning() <= std::max(before, ledger.out()));
        }
    }
    // After every fault has ended, the limit is usable again.
    world.cut.clear();
    world.storeDown = false;
    world.setLimit(limit);
    for (unsigned index = 0; index < entries; ++index) {
        world.pause(index, false);
        world.kill(index);
        world.start(index);
        world.demand(index, limit);
    }
    world.lossPercent = 0;
    world.repeatPercent = 0;
    world.maxDelaySteps = 1;
    world.loseAnswerPercent = 0;
    world.run(worldLongestWork * 4 + std::chrono::seconds(40));
    RC_ASSERT(world.totalRunning() <= limit);
    RC_ASSERT(meanRunning(world) >= usable);
}

class QuotaAgentFaults : public PropertyPart
{};

TEST_P(QuotaAgentFaults, neverRunsMoreThanIsGivenOut)
{
    check(&runNeverMoreThanIsGivenOut);
}

INSTANTIATE_TEST_SUITE_P(Parts, QuotaAgentFaults, ::testing::Range(0, propertyParts));

} // namespace
} // namespace cyclamenlatch::quota
