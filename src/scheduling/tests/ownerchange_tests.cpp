// A new owner's decisions: what it waits for, what it counts, what it takes over.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

// LIMIT on a hunted day: the new owner did not know the size of runs whose job had just ended.
TEST(OwnerCore, startsNothingBesideRunsOfJobsItDoesNotKnow)
{
    OwnerFixture fixture(2);
    fixture.list("t1");
    StartOrder stranger;
    stranger.task = TaskRef{99, 0, 0, 0};
    stranger.attempt = 1;
    fixture.report("t1", {OwnerFixture::running(stranger)}, {});
    fixture.submit(7, {makeStep(1)});
    auto orders = fixture.plan();
    ASSERT_EQ(orders.size(), 1U);
    const auto *stop = std::get_if<StopOrder>(&orders[0]);
    ASSERT_NE(stop, nullptr);
    EXPECT_EQ(stop->task.job, 99U);
    fixture.report("t1", {}, {OwnerFixture::end(1, stranger, RunOutcome::Stopped)});
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// LOST on a hunted day: a failure recorded by the earlier owner was listed again and counted twice.
TEST(OwnerCore, countsAFailureOnceHoweverOftenItIsListed)
{
    OwnerFixture fixture(2);
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.steps[{0, 0}].failedAttempts[0] = {1, 2};
    fixture.submit(7, {makeStep(1)}, "space", progress, false);
    fixture.list("t1");
    StartOrder earlier;
    earlier.task = TaskRef{7, 0, 0, 0};
    earlier.attempt = 1;
    auto again = earlier;
    again.attempt = 2;
    fixture.report("t1", {},
                   {OwnerFixture::end(1, earlier, RunOutcome::Failed),
                    OwnerFixture::end(2, again, RunOutcome::Failed)});
    EXPECT_EQ(fixture.startAll().size(), 1U);
    for (const auto &write : fixture.flush().writes) {
        EXPECT_NE(write.progress.phase, JobPhase::Failed);
    }
}

TEST(OwnerCore, waitsForTargetsItHasNotHeardBeforeItStartsOlderJobs)
{
    OwnerFixture fixture(2);
    fixture.list("t1");
    fixture.join("t2");
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    fixture.submit(7, {makeStep(1)}, "space", begun, false);
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.submit(8, {makeStep(1)}, "space", {}, true);
    const auto fresh = fixture.startAll();
    ASSERT_EQ(fresh.size(), 1U);
    EXPECT_EQ(fresh[0].task.job, 8U);
    fixture.report("t1", {}, {});
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// After a cut that took the owner and a third of the targets, every older job stood still for 5 s.
TEST(OwnerCore, startsJobsThatAreStoredAsWaitingAtOnceAfterTakingOver)
{
    OwnerFixture fixture(2);
    fixture.list("t1");
    fixture.join("t2");
    fixture.submit(7, {makeStep(1)}, "space", {}, false);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// With a third of the targets cut off, begun jobs whose targets all answer go on.
TEST(OwnerCore, waitsOnlyForTargetsThatMayRunTheJob)
{
    OwnerFixture fixture(2);
    fixture.list("t1");
    fixture.join("t2");
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t2"};
    fixture.submit(7, {makeStep(1)}, "space", begun, false);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// A third of the targets cut off when the owner changes: their capacity counted against every
// workspace, and nothing of those near their caps was started for 4 s.
TEST(OwnerCore, countsAgainstACapOnlyWhatMayRunOnTargetsItHasNotHeard)
{
    OwnerFixture fixture(2);
    auto rules = makeRules();
    rules.workspaces[0].cap = Resources{10000, 0, 0};
    rules.workspaces.push_back(rules.workspaces[0]);
    rules.workspaces[1].name = "other";
    fixture.core.setRules(rules, fixture.now);
    fixture.list("t1");
    fixture.join("t2");
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    fixture.submit(7, {makeStep(4, 2000)}, "space", begun, false);
    fixture.submit(8, {makeStep(4)});
    fixture.submit(9, {makeStep(4)}, "other");
    const auto starts = fixture.startAll();
    EXPECT_EQ(std::count_if(starts.begin(), starts.end(),
                            [](const auto &start) { return start.task.job == 7; }),
              0);
    // 8 of 10 cores may be in use, and half a core is left for what is not known.
    EXPECT_EQ(std::count_if(starts.begin(), starts.end(),
                            [](const auto &start) { return start.task.job == 8; }),
              1);
    EXPECT_EQ(std::count_if(starts.begin(), starts.end(),
                            [](const auto &start) { return start.task.job == 9; }),
              4);
}

// After a change of owners, targets of hosts that were moved right before it were waited for.
TEST(OwnerCore, takesASilentTargetForEndedOnceItsHostRunsALaterOne)
{
    OwnerFixture fixture(2);
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    TargetInfo info;
    info.id = "t1";
    info.service = "pool";
    info.address = "10.0.0.1:80";
    info.host = "m1";
    info.incarnation = 1000;
    info.capacity = Resources{16000, 64000, 0};
    fixture.core.targetListed(info, fixture.now);
    info.id = "t2";
    info.incarnation = 9000;
    fixture.core.targetListed(info, fixture.now);
    fixture.core.targetRecorded("t2");
    fixture.report("t2", {}, {});
    fixture.submit(7, {makeStep(1)}, "space", begun, false);
    HostInfo host;
    host.name = "m1";
    host.state = HostState::Up;
    host.target = "t2";
    fixture.core.hostsListed({host}, fixture.now);
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.core.keepAliveFailed("t1", fixture.now);
    // A list from before the later target's birth proves nothing.
    host.target = "t1";
    fixture.core.hostsListed({host}, fixture.now);
    EXPECT_TRUE(fixture.startAll().empty());
    host.target = "t2";
    fixture.core.hostsListed({host}, fixture.now);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

TEST(OwnerCore, takesBackAStartThatWasNotSentWhenTheTaskTurnsOutToRun)
{
    OwnerFixture fixture(2);
    fixture.join("t1");
    fixture.list("t2");
    JobProgress progress;
    progress.phase = JobPhase::Running;
    fixture.submit(7, {makeStep(1)}, "space", progress, false);
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    const auto flush = fixture.core.takeFlush();
    StartOrder earlier;
    earlier.task = TaskRef{7, 0, 0, 0};
    earlier.attempt = 1;
    fixture.report("t2", {OwnerFixture::running(earlier)}, {});
    fixture.core.jobWritten(7, 2, fixture.now);
    fixture.core.flushDone(flush, fixture.now);
    EXPECT_TRUE(fixture.plan().empty());
}

} // namespace cyclamenlatch::scheduling::tests
