// Tests of targets whose service the configuration does not name: not yet, or no longer.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

FleetRules makeRulesWithoutService()
{
    auto rules = makeRules();
    rules.version = 2;
    rules.services.clear();
    return rules;
}

} // namespace

TEST(UnassignedTargets, areNotUsed)
{
    OwnerFixture fixture;
    fixture.service = "unknown";
    fixture.join("t1");
    EXPECT_TRUE(fixture.core.targetsToKeepAlive().empty());
    EXPECT_EQ(fixture.core.target("t1"), nullptr);
}

// Guards against a pool that stays empty: its targets were listed before the configuration named
// their service, and the platform does not list them again.
TEST(UnassignedTargets, comeIntoUseWithTheConfigurationThatNamesTheirService)
{
    OwnerFixture fixture;
    fixture.core.setRules(makeRulesWithoutService(), fixture.now);
    fixture.list("t1");
    fixture.core.setRules(makeRules(), fixture.now);
    EXPECT_EQ(fixture.core.takeAssignedTargets(), std::vector<std::string>{"t1"});
    EXPECT_TRUE(fixture.core.takeAssignedTargets().empty());
    fixture.core.targetRecorded("t1");
    fixture.report("t1", {}, {});
    fixture.submit(7, {makeStep(1)});
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// Guards against accepted jobs that never run on: their service was removed, and then the platform
// listed its targets with a change.
TEST(UnassignedTargets, doNotIncludeThoseOfLiveJobs)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    fixture.core.setRules(makeRulesWithoutService(), fixture.now);
    fixture.list("t1", Resources{12000, 64000, 0});
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// The same for a new owner, whichever it reads first.
TEST(UnassignedTargets, comeIntoUseWithAJobOfTheirService)
{
    OwnerFixture fixture(2);
    fixture.core.setRules(makeRulesWithoutService(), fixture.now);
    fixture.list("t1");
    fixture.submit(7, {makeStep(1)}, "space", {}, false);
    fixture.list("t2");
    EXPECT_EQ(fixture.core.takeAssignedTargets(), std::vector<std::string>{"t1"});
    EXPECT_EQ(fixture.core.targetsToKeepAlive().size(), 2U);
}

TEST(UnassignedTargets, areForgottenWithTheirEntries)
{
    OwnerFixture fixture;
    fixture.core.setRules(makeRulesWithoutService(), fixture.now);
    fixture.list("t1");
    fixture.core.targetUnlisted("t1", fixture.now);
    fixture.list("t2");
    fixture.core.forgetUnassignedTargets();
    fixture.core.setRules(makeRules(), fixture.now);
    EXPECT_TRUE(fixture.core.takeAssignedTargets().empty());
    EXPECT_TRUE(fixture.core.targetsToKeepAlive().empty());
}

} // namespace cyclamenlatch::scheduling::tests
