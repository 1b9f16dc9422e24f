// Tests of OwnerCore after a change of owners: waiting, counting and adoption of runs.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

// Guards against exceeded caps: the new owner does not know the resources of runs whose job ended
// right before the change of owners.
TEST(OwnerCore, startsNothingBesideOrphanedRuns)
{
    OwnerFixture fixture(2);
    fixture.list("t1");
    StartOrder orphan;
    orphan.task = TaskRef{99, 0, 0, 0};
    orphan.attempt = 1;
    fixture.report("t1", {OwnerFixture::running(orphan)}, {});
    fixture.submit(7, {makeStep(1)});
    auto orders = fixture.plan();
    ASSERT_EQ(orders.size(), 1U);
    const auto *stop = std::get_if<StopOrder>(&orders[0]);
    ASSERT_NE(stop, nullptr);
    EXPECT_EQ(stop->task.job, 99U);
    fixture.report("t1", {}, {OwnerFixture::end(1, orphan, RunOutcome::Stopped)});
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// Guards against lost jobs: a failure that the previous owner recorded is listed again by the
// target, and when it is counted twice the job fails too early.
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

TEST(OwnerCore, waitsForTargetsNotContactedBeforeItStartsOlderJobs)
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

// Guards against idle time after a change of owners: when a network partition cut off the owner and
// a third of the targets, every older job stood still for 5 s.
TEST(OwnerCore, startsJobsStoredAsQueuedAtOnceAfterTakingOver)
{
    OwnerFixture fixture(2);
    fixture.list("t1");
    fixture.join("t2");
    fixture.submit(7, {makeStep(1)}, "space", {}, false);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// When a third of the targets is cut off, begun jobs whose targets all answer must go on.
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

// Guards against idle time after a change of owners: with a third of the targets cut off, their
// whole capacity counted against every workspace, and those near a cap started nothing for 4 s.
TEST(OwnerCore, countsAgainstACapOnlyTasksThatMayRunOnTargetsNotContacted)
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
    // Tasks of job 7 may use 8 of the 10 cores, and half a core is kept for runs of ended jobs.
    EXPECT_EQ(std::count_if(starts.begin(), starts.end(),
                            [](const auto &start) { return start.task.job == 8; }),
              1);
    EXPECT_EQ(std::count_if(starts.begin(), starts.end(),
                            [](const auto &start) { return start.task.job == 9; }),
              4);
}

// Guards against waiting for targets whose hosts were moved right before a change of owners.
TEST(OwnerCore, takesAnUnreachableTargetAsEndedOnceItsHostRunsALaterOne)
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
    // A list of hosts from before the later target started proves nothing.
    host.target = "t1";
    fixture.core.hostsListed({host}, fixture.now);
    EXPECT_TRUE(fixture.startAll().empty());
    host.target = "t2";
    fixture.core.hostsListed({host}, fixture.now);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

TEST(OwnerCore, withdrawsAnAllocatedStartWhenTheTaskTurnsOutToRun)
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

// Guards against broken availability budgets: the earlier owner had a task stopped to evacuate its
// target right before the change of owners. The target still listed it as at work, and the new
// owner stopped another one.
TEST(OwnerCore, stopsNoTaskWhileAnEarlierOwnersStopMayStillTakeEffect)
{
    for (const std::uint32_t maxUnavailable : {0U, 1U}) {
        OwnerFixture fixture(2);
        fixture.core.setEvacuated({"a"});
        auto longRunning = makeStep(2);
        longRunning.isLongRunning = true;
        longRunning.maxUnavailable = maxUnavailable;
        JobProgress progress;
        progress.phase = JobPhase::Running;
        progress.targets = {"t1"};
        fixture.submit(7, {longRunning}, "space", progress, false);
        fixture.list("t1");
        StartOrder stopping;
        stopping.task = TaskRef{7, 0, 0, 0};
        stopping.attempt = 1;
        auto other = stopping;
        other.task.index = 1;
        fixture.report("t1",
                       {OwnerFixture::running(stopping, 100), OwnerFixture::running(other, 100)},
                       {});
        EXPECT_TRUE(fixture.planned<StopOrder>().empty());
        fixture.advance(200ms);
        EXPECT_TRUE(fixture.planned<StopOrder>().empty());
        fixture.report("t1", {OwnerFixture::running(other, 100)},
                       {OwnerFixture::end(1, stopping, RunOutcome::Stopped)});
        fixture.advance(500ms);
        fixture.report("t1", {OwnerFixture::running(other, 100)}, {});
        EXPECT_TRUE(fixture.planned<StopOrder>().empty());
    }
}

} // namespace cyclamenlatch::scheduling::tests
