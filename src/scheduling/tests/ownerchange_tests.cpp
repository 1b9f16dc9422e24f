// A new owner's decisions: what it waits for, what it counts, what it takes over.
#include "scheduling/tests/ownerworld.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

// LIMIT on a hunted day: the new owner did not know the size of runs whose job had just ended.
TEST(OwnerCore, startsNothingBesideRunsOfJobsItDoesNotKnow)
{
    OwnerWorld world(2);
    world.list("t1");
    StartOrder stranger;
    stranger.task = TaskRef{99, 0, 0, 0};
    stranger.attempt = 1;
    world.report("t1", {OwnerWorld::running(stranger)}, {});
    world.submit(7, {makeStep(1)});
    auto orders = world.plan();
    ASSERT_EQ(orders.size(), 1U);
    const auto *stop = std::get_if<StopOrder>(&orders[0]);
    ASSERT_NE(stop, nullptr);
    EXPECT_EQ(stop->task.job, 99U);
    world.report("t1", {}, {OwnerWorld::end(1, stranger, RunEnd::Stopped)});
    EXPECT_EQ(world.startAll().size(), 1U);
}

// LOST on a hunted day: a failure recorded by the earlier owner was listed again and counted twice.
TEST(OwnerCore, countsAFailureOnceHoweverOftenItIsListed)
{
    OwnerWorld world(2);
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.steps[{0, 0}].failedAttempts[0] = {1, 2};
    world.submit(7, {makeStep(1)}, "space", progress, false);
    world.list("t1");
    StartOrder earlier;
    earlier.task = TaskRef{7, 0, 0, 0};
    earlier.attempt = 1;
    auto again = earlier;
    again.attempt = 2;
    world.report("t1", {},
                 {OwnerWorld::end(1, earlier, RunEnd::Failed),
                  OwnerWorld::end(2, again, RunEnd::Failed)});
    EXPECT_EQ(world.startAll().size(), 1U);
    for (const auto &write : world.flush().writes) {
        EXPECT_NE(write.progress.phase, JobPhase::Failed);
    }
}

TEST(OwnerCore, waitsForTargetsItHasNotHeardBeforeItStartsOlderJobs)
{
    OwnerWorld world(2);
    world.list("t1");
    world.join("t2");
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    world.submit(7, {makeStep(1)}, "space", begun, false);
    EXPECT_TRUE(world.startAll().empty());
    world.submit(8, {makeStep(1)}, "space", {}, true);
    const auto fresh = world.startAll();
    ASSERT_EQ(fresh.size(), 1U);
    EXPECT_EQ(fresh[0].task.job, 8U);
    world.report("t1", {}, {});
    EXPECT_EQ(world.startAll().size(), 1U);
}

// After a cut that took the owner and a third of the targets, every older job stood still for 5 s.
TEST(OwnerCore, startsJobsThatAreStoredAsWaitingAtOnceAfterTakingOver)
{
    OwnerWorld world(2);
    world.list("t1");
    world.join("t2");
    world.submit(7, {makeStep(1)}, "space", {}, false);
    EXPECT_EQ(world.startAll().size(), 1U);
}

// With a third of the targets cut off, begun jobs whose targets all answer go on.
TEST(OwnerCore, waitsOnlyForTargetsThatMayRunTheJob)
{
    OwnerWorld world(2);
    world.list("t1");
    world.join("t2");
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t2"};
    world.submit(7, {makeStep(1)}, "space", begun, false);
    EXPECT_EQ(world.startAll().size(), 1U);
}

// A third of the targets cut off when the owner changes: their capacity counted against every
// workspace, and nothing of those near their caps was started for 4 s.
TEST(OwnerCore, countsAgainstACapOnlyWhatMayRunOnTargetsItHasNotHeard)
{
    OwnerWorld world(2);
    auto rules = makeRules();
    rules.workspaces[0].cap = Room{10000, 0, 0};
    rules.workspaces.push_back(rules.workspaces[0]);
    rules.workspaces[1].name = "other";
    world.core.setRules(rules, world.now);
    world.list("t1");
    world.join("t2");
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    world.submit(7, {makeStep(4, 2000)}, "space", begun, false);
    world.submit(8, {makeStep(4)});
    world.submit(9, {makeStep(4)}, "other");
    const auto starts = world.startAll();
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
    OwnerWorld world(2);
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    TargetInfo info;
    info.id = "t1";
    info.service = "pool";
    info.address = "10.0.0.1:80";
    info.host = "m1";
    info.born = 1000;
    info.capacity = Room{16000, 64000, 0};
    world.core.targetListed(info, world.now);
    info.id = "t2";
    info.born = 9000;
    world.core.targetListed(info, world.now);
    world.core.targetRecorded("t2");
    world.report("t2", {}, {});
    world.submit(7, {makeStep(1)}, "space", begun, false);
    HostInfo host;
    host.name = "m1";
    host.state = HostState::Up;
    host.target = "t2";
    world.core.hostsListed({host}, world.now);
    EXPECT_TRUE(world.startAll().empty());
    world.core.holdFailed("t1", world.now);
    // A list from before the later target's birth proves nothing.
    host.target = "t1";
    world.core.hostsListed({host}, world.now);
    EXPECT_TRUE(world.startAll().empty());
    host.target = "t2";
    world.core.hostsListed({host}, world.now);
    EXPECT_EQ(world.startAll().size(), 1U);
}

TEST(OwnerCore, takesBackAStartThatWasNotSentWhenTheTaskTurnsOutToRun)
{
    OwnerWorld world(2);
    world.join("t1");
    world.list("t2");
    JobProgress progress;
    progress.phase = JobPhase::Running;
    world.submit(7, {makeStep(1)}, "space", progress, false);
    EXPECT_TRUE(world.planned<StartOrder>().empty());
    const auto flush = world.core.takeFlush();
    StartOrder earlier;
    earlier.task = TaskRef{7, 0, 0, 0};
    earlier.attempt = 1;
    world.report("t2", {OwnerWorld::running(earlier)}, {});
    world.core.jobWritten(7, 2, world.now);
    world.core.flushDone(flush, world.now);
    EXPECT_TRUE(world.plan().empty());
}

} // namespace cyclamenlatch::scheduling::tests
