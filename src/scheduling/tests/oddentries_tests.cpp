// Tests of entries of another writer over those of sound targets.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

class OddEntryFixture : public OwnerFixture
{
public:
    OddEntryFixture()
    {
        join("t1");
        join("t2", Resources{8000, 64000, 0});
        submit(7, {makeStep(1)});
        const auto starts = startAll();
        start = starts.at(0);
        other = start.targetId == "t1" ? "t2" : "t1";
        report(start.targetId, {running(start)}, {});
    }

    // Lists the target of the run with a later time of its start, as after a restart.
    void listAsRestarted()
    {
        auto info = *core.target(start.targetId);
        info.incarnation = 9'000'000'000'000;
        core.targetListed(info, now);
    }

    StartOrder start;
    std::string other;
};

} // namespace

// Guards against a second run of a task: an entry of another writer said that the target had
// restarted, and its runs were taken as ended while they went on.
TEST(OddEntries, doNotEndTheRunsOfASoundTarget)
{
    OddEntryFixture fixture;
    fixture.listAsRestarted();
    EXPECT_TRUE(fixture.startAll().empty());
    for (int round = 0; round < 3; ++round) {
        fixture.advance(300ms);
        fixture.core.keepAliveOrder(fixture.start.targetId, fixture.now);
        fixture.report(fixture.start.targetId, {OwnerFixture::running(fixture.start, 60)}, {});
        EXPECT_TRUE(fixture.startAll().empty());
    }
    fixture.report(fixture.start.targetId, {},
                   {OwnerFixture::end(1, fixture.start, RunOutcome::Done)});
    const auto stored = fixture.flush();
    ASSERT_EQ(stored.writes.size(), 1U);
    EXPECT_EQ(stored.writes[0].progress.phase, JobPhase::Completed);
}

// The target gets no work before it has answered.
TEST(OddEntries, makeATargetWaitForItsAnswer)
{
    OddEntryFixture fixture;
    fixture.listAsRestarted();
    fixture.core.targetUnlisted(fixture.other, fixture.now);
    fixture.submit(8, {makeStep(1)});
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.report(fixture.start.targetId, {OwnerFixture::running(fixture.start, 60)}, {});
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// A target that has restarted says so itself, and its runs are started again.
TEST(OddEntries, areToldFromARestartByTheTargetsAnswer)
{
    OddEntryFixture fixture;
    fixture.listAsRestarted();
    // The second answer is to a call that fences off those for the earlier incarnation.
    fixture.poll(fixture.start.targetId, 9'000'000'000'000);
    fixture.poll(fixture.start.targetId, 9'000'000'000'000);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// An end that was listed before the odd entry is not handled again, and stays recorded.
TEST(OddEntries, doNotBringBackEndsThatAreRecorded)
{
    OddEntryFixture fixture;
    fixture.report(fixture.start.targetId, {},
                   {OwnerFixture::end(1, fixture.start, RunOutcome::Failed)});
    fixture.flush();
    fixture.listAsRestarted();
    fixture.report(fixture.start.targetId, {},
                   {OwnerFixture::end(1, fixture.start, RunOutcome::Failed)});
    const auto order = fixture.core.keepAliveOrder(fixture.start.targetId, fixture.now);
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->endsRecorded, 1U);
}

// An entry that can't be read over a sound target's: the target gets no new work, its runs go on
// under their leases, and it is used again with its next sound entry.
TEST(OddEntries, thatNameNoTargetLeaveTheRunsOfASoundOne)
{
    OddEntryFixture fixture;
    const auto info = *fixture.core.target(fixture.start.targetId);
    fixture.core.targetUnlisted(fixture.start.targetId, fixture.now);
    fixture.core.targetUnlisted(fixture.other, fixture.now);
    fixture.submit(8, {makeStep(1)});
    for (int round = 0; round < 20; ++round) {
        fixture.advance(500ms);
        const auto order = fixture.core.keepAliveOrder(fixture.start.targetId, fixture.now);
        ASSERT_TRUE(order.has_value());
        EXPECT_GT(order->leaseUntil.count(), 0);
        fixture.report(fixture.start.targetId, {OwnerFixture::running(fixture.start, round)}, {});
        EXPECT_TRUE(fixture.startAll().empty());
    }
    fixture.core.targetListed(info, fixture.now);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

} // namespace cyclamenlatch::scheduling::tests
