// Tests of the single rules of OwnerCore.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

TEST(OwnerCore, startsEveryTaskOnceAndCompletesTheJob)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(3)});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 3U);
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    fixture.report("t1", {},
                   {OwnerFixture::end(1, starts[0], RunOutcome::Done),
                    OwnerFixture::end(2, starts[1], RunOutcome::Done),
                    OwnerFixture::end(3, starts[2], RunOutcome::Done)});
    const auto flush = fixture.flush();
    ASSERT_EQ(flush.writes.size(), 1U);
    EXPECT_EQ(flush.writes[0].progress.phase, JobPhase::Completed);
    EXPECT_TRUE(flush.writes[0].removesSubmission);
    EXPECT_FALSE(fixture.core.hasJob(7));
}

// Guards against running ended jobs again (130 double runs in one simulation of a large fleet, seed
// 493993712457). When the store drops its history the jobs are listed again page by page, and a
// page may show jobs that end before the last page is read.
TEST(OwnerCore, ignoresAnEndedJobThatAStalePageOfAListShows)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    fixture.report("t1", {}, {OwnerFixture::end(1, starts[0], RunOutcome::Done)});
    fixture.flush();
    ASSERT_FALSE(fixture.core.hasJob(7));
    fixture.submit(7, {makeStep(1)});
    EXPECT_FALSE(fixture.core.hasJob(7));
    EXPECT_TRUE(fixture.startAll().empty());
    // The same holds for a cancelled job.
    fixture.submit(8, {makeStep(1)});
    fixture.core.jobCancelled(8, fixture.now);
    fixture.submit(8, {makeStep(1)});
    EXPECT_TRUE(fixture.startAll().empty());
}

TEST(OwnerCore, startsAStepOnlyAfterItsDependencies)
{
    OwnerFixture fixture;
    fixture.join("t1");
    auto second = makeStep(1);
    second.after = {0};
    fixture.submit(7, {makeStep(2), second});
    const auto first = fixture.startAll();
    ASSERT_EQ(first.size(), 2U);
    fixture.report("t1", {OwnerFixture::running(first[1])},
                   {OwnerFixture::end(1, first[0], RunOutcome::Done)});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    fixture.report("t1", {}, {OwnerFixture::end(2, first[1], RunOutcome::Done)});
    const auto later = fixture.startAll();
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].task.step, 1U);
}

TEST(OwnerCore, neverExceedsTheCapacityOfATarget)
{
    OwnerFixture fixture;
    fixture.join("t1", Resources{4000, 64000, 0});
    fixture.submit(7, {makeStep(9)});
    EXPECT_EQ(fixture.startAll().size(), 4U);
}

// Guards against missed objectives under overload. When one workspace submitted five times its
// usual work and steps were ordered by latest start alone, every job began and few ended in time.
TEST(OwnerCore, continuesBegunJobsBeforeItBeginsOthers)
{
    OwnerFixture fixture;
    fixture.join("t1", Resources{4000, 64000, 0});
    auto second = makeStep(4);
    second.after = {0};
    fixture.submit(7, {makeStep(4), second});
    const auto first = fixture.startAll();
    ASSERT_EQ(first.size(), 4U);
    // The only step of job 8 is due before the second step of job 7.
    fixture.submit(8, {makeStep(4)});
    std::vector<EndedRun> ends;
    for (std::uint64_t number = 0; number < 4; ++number) {
        ends.push_back(OwnerFixture::end(number + 1, first[number], RunOutcome::Done));
    }
    fixture.report("t1", {}, ends);
    const auto next = fixture.startAll();
    ASSERT_EQ(next.size(), 4U);
    EXPECT_EQ(next[0].task.job, 7U);
}

// Guards against work in an evacuated data centre: 855 violations were counted when the core did
// not know of the request.
TEST(OwnerCore, startsNothingInAnEvacuatedDataCentre)
{
    OwnerFixture fixture;
    auto longRunning = makeStep(1);
    longRunning.isLongRunning = true;
    fixture.joinIn("t1", "north");
    fixture.submit(7, {longRunning});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    fixture.report("t1", {OwnerFixture::running(starts[0], 100)}, {});
    fixture.joinIn("t2", "south");
    fixture.core.setEvacuated({"north"});
    fixture.submit(8, {makeStep(2)});
    fixture.advance(200ms);
    // The long-running task is stopped, and new tasks start in the other data centre.
    EXPECT_EQ(fixture.planned<StopOrder>().size(), 1U);
    fixture.flush();
    for (const auto &start : fixture.planned<StartOrder>()) {
        EXPECT_EQ(start.targetId, "t2");
    }
    fixture.report("t1", {}, {OwnerFixture::end(1, starts[0], RunOutcome::Stopped)});
    const auto again = fixture.startAll();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].targetId, "t2");
    EXPECT_EQ(fixture.core.demands(fixture.now).at("pool").targets, 1U);
    fixture.core.setEvacuated({});
    EXPECT_EQ(fixture.core.demands(fixture.now).at("pool").targets, 2U);
}

TEST(OwnerCore, failsAJobAfterItsAttemptsAreUsedUp)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.join("t2");
    fixture.submit(7, {makeStep(1)});
    for (std::uint64_t number = 1; number <= 3; ++number) {
        const auto starts = fixture.startAll();
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts[0].attempt, number);
        fixture.report(starts[0].targetId, {},
                       {OwnerFixture::end(number, starts[0], RunOutcome::Failed)});
    }
    const auto flush = fixture.flush();
    ASSERT_EQ(flush.writes.size(), 1U);
    EXPECT_EQ(flush.writes[0].progress.phase, JobPhase::Failed);
    EXPECT_TRUE(fixture.startAll().empty());
}

// Guards against lost tasks: repeated calls to an unreachable target must not extend its lease, or
// its tasks are never started elsewhere.
TEST(OwnerCore, restartsATaskOnceTheLeaseOfItsUnreachableTargetHasExpired)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(fixture.startAll().size(), 1U);
    fixture.join("t2");
    for (int call = 0; call < 40; ++call) {
        fixture.core.keepAliveOrder("t1", fixture.now);
        fixture.core.keepAliveFailed("t1", fixture.now);
        fixture.advance(150ms);
        fixture.core.keepAliveOrder("t2", fixture.now);
        fixture.report("t2", {}, {});
    }
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].targetId, "t2");
}

TEST(OwnerCore, restartsNoTaskBeforeTheLeaseOfItsUnreachableTargetHasExpired)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(fixture.startAll().size(), 1U);
    fixture.join("t2");
    fixture.core.keepAliveFailed("t1", fixture.now);
    fixture.advance(4s);
    fixture.report("t2", {}, {});
    EXPECT_TRUE(fixture.startAll().empty());
}

TEST(OwnerCore, stopsAnUnansweredStartBeforeItStartsTheTaskElsewhere)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.join("t2");
    fixture.submit(7, {makeStep(1)});
    fixture.plan();
    fixture.flush();
    const auto starts = fixture.planned<StartOrder>();
    ASSERT_EQ(starts.size(), 1U);
    fixture.core.startAnswered(starts[0], OrderResult::OutcomeUnknown, fixture.now);
    auto orders = fixture.plan();
    ASSERT_EQ(orders.size(), 1U);
    const auto stop = std::get<StopOrder>(orders[0]);
    fixture.report(starts[0].targetId, {}, {});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    fixture.core.stopAnswered(stop, OrderResult::Accepted, fixture.now);
    fixture.advance(10ms);
    fixture.report(starts[0].targetId, {}, {});
    const auto again = fixture.planned<StartOrder>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].attempt, starts[0].attempt);
}

TEST(OwnerCore, letsATargetForgetAnEndOnlyOnceItIsStored)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(2)});
    const auto starts = fixture.startAll();
    fixture.report("t1", {OwnerFixture::running(starts[1])},
                   {OwnerFixture::end(1, starts[0], RunOutcome::Done)});
    EXPECT_EQ(fixture.core.keepAliveOrder("t1", fixture.now)->endsRecorded, 0U);
    fixture.flush();
    EXPECT_EQ(fixture.core.keepAliveOrder("t1", fixture.now)->endsRecorded, 1U);
}

TEST(OwnerCore, storesATargetBeforeItsFirstStartThere)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    const auto flush = fixture.flush();
    ASSERT_EQ(flush.writes.size(), 1U);
    EXPECT_EQ(flush.writes[0].progress.phase, JobPhase::Running);
    EXPECT_EQ(flush.writes[0].progress.targets, std::vector<std::string>{"t1"});
    EXPECT_EQ(fixture.planned<StartOrder>().size(), 1U);
}

// Guards against tasks that run twice after a change of owners (seen with unreachable targets,
// seeds 1013 and 1038). While a job's record was being written a task was allocated on one more
// target, and its start was sent when that record, which lacked the target, was stored. The owner
// was killed, and the next one did not wait for the answer of a target that it did not know of.
TEST(OwnerCore, startsNothingOnATargetThatTheStoredJobRecordLacks)
{
    OwnerFixture fixture;
    fixture.join("t1", Resources{1000, 64000, 0});
    fixture.submit(7, {makeStep(2)});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    const auto early = fixture.core.takeFlush();
    ASSERT_EQ(early.writes.size(), 1U);
    EXPECT_EQ(early.writes[0].progress.targets, std::vector<std::string>{"t1"});
    fixture.join("t2", Resources{1000, 64000, 0});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    fixture.core.jobWritten(7, 2, fixture.now);
    fixture.core.flushDone(early, fixture.now);
    const auto first = fixture.planned<StartOrder>();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].targetId, "t1");
    const auto late = fixture.flush();
    ASSERT_EQ(late.writes.size(), 1U);
    EXPECT_EQ(late.writes[0].progress.targets.size(), 2U);
    const auto second = fixture.planned<StartOrder>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].targetId, "t2");
}

// Guards against storing more jobs as begun than fit into the free resources that they share.
TEST(OwnerCore, beginsNoMoreJobsThanFit)
{
    OwnerFixture fixture;
    fixture.join("t1", Resources{2000, 64000, 0});
    for (JobNumber id = 1; id <= 6; ++id) {
        fixture.submit(id, {makeStep(1)});
    }
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    EXPECT_EQ(fixture.flush().writes.size(), 2U);
    EXPECT_EQ(fixture.planned<StartOrder>().size(), 2U);
}

TEST(OwnerCore, keepsAWorkspaceWithinItsCapOverAllTargets)
{
    OwnerFixture fixture;
    auto rules = makeRules();
    rules.workspaces[0].cap = Resources{3000, 0, 0};
    fixture.core.setRules(rules, fixture.now);
    fixture.join("t1", Resources{2000, 64000, 0});
    fixture.join("t2", Resources{16000, 64000, 0});
    fixture.submit(7, {makeStep(9)});
    EXPECT_EQ(fixture.startAll().size(), 3U);
}

// In an overloaded pool small tasks must not wait behind large ones that fit on no target.
TEST(OwnerCore, startsSmallTasksBehindLargeOnesThatDoNotFit)
{
    OwnerFixture fixture;
    fixture.join("t1", Resources{2000, 64000, 0});
    for (JobNumber id = 1; id <= 20; ++id) {
        fixture.submit(id, {makeStep(1, 4000)});
    }
    fixture.submit(21, {makeStep(3)});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_EQ(starts[0].task.job, 21U);
}

TEST(OwnerCore, stopsTheTasksOfACancelledJob)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(2)});
    ASSERT_EQ(fixture.startAll().size(), 2U);
    fixture.core.jobCancelled(7, fixture.now);
    EXPECT_EQ(fixture.planned<StopOrder>().size(), 2U);
}

TEST(OwnerCore, startsAllTasksOfAGangOrNone)
{
    OwnerFixture fixture;
    fixture.join("t1", Resources{2000, 64000, 0});
    auto gang = makeStep(3);
    gang.isGang = true;
    fixture.submit(7, {gang});
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.join("t2", Resources{2000, 64000, 0});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 3U);
    EXPECT_EQ(starts[0].attempt, starts[1].attempt);
    EXPECT_EQ(starts[1].attempt, starts[2].attempt);
}

TEST(OwnerCore, movesLongRunningTasksOffADrainingHostOneByOne)
{
    OwnerFixture fixture;
    fixture.join("t1");
    auto longRunning = makeStep(3);
    longRunning.isLongRunning = true;
    longRunning.maxUnavailable = 1;
    fixture.submit(7, {longRunning});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 3U);
    fixture.report("t1",
                   {OwnerFixture::running(starts[0], 100), OwnerFixture::running(starts[1], 100),
                    OwnerFixture::running(starts[2], 100)},
                   {});
    fixture.core.setHostDraining("t1", true);
    EXPECT_EQ(fixture.planned<StopOrder>().size(), 1U);
    EXPECT_TRUE(fixture.planned<StopOrder>().empty());
}

TEST(OwnerCore, startsAStepOfAQueueWithAdviceOnlyWithAValidTicket)
{
    OwnerFixture fixture;
    auto rules = makeRules();
    rules.queues[0].advice = AdviceRule{50ms, 5ms, 3000ms};
    fixture.core.setRules(rules, fixture.now);
    fixture.join("t1");
    fixture.join("t2");
    fixture.submit(7, {makeStep(1)});
    const auto asked = fixture.planned<AdviseOrder>();
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].targets.size(), 2U);
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.core.adviceAnswered(asked[0], std::vector<Advice>{{"t2", "pass"}}, 3000ms, fixture.now);
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].targetId, "t2");
    EXPECT_EQ(starts[0].ticket, "pass");
}

TEST(OwnerCore, asksForAdviceAgainOnceATicketHasExpired)
{
    OwnerFixture fixture;
    auto rules = makeRules();
    rules.queues[0].advice = AdviceRule{50ms, 5ms, 3000ms};
    fixture.core.setRules(rules, fixture.now);
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto asked = fixture.planned<AdviseOrder>();
    ASSERT_EQ(asked.size(), 1U);
    fixture.core.adviceAnswered(asked[0], std::nullopt, 0ms, fixture.now);
    EXPECT_TRUE(fixture.planned<AdviseOrder>().empty());
    fixture.advance(250ms);
    ASSERT_EQ(fixture.planned<AdviseOrder>().size(), 1U);
    fixture.core.adviceAnswered(asked[0], std::vector<Advice>{{"t1", "pass"}}, 400ms, fixture.now);
    fixture.advance(200ms);
    EXPECT_EQ(fixture.planned<AdviseOrder>().size(), 1U);
    EXPECT_TRUE(fixture.startAll().empty());
}

TEST(OwnerCore, startsNothingOnADrainingTarget)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.list("t1", Resources{16000, 64000, 0}, true);
    fixture.submit(7, {makeStep(1)});
    EXPECT_TRUE(fixture.startAll().empty());
}

TEST(OwnerCore, haltsTasksOnSpareProcessorsBesideATaskThatExceedsItsTailLatencyBound)
{
    OwnerFixture fixture;
    fixture.join("t1");
    auto serving = makeStep(1);
    serving.isLongRunning = true;
    serving.tailLatencyBound = 100ms;
    auto spare = makeStep(1);
    spare.isLongRunning = true;
    spare.usesSpareProcessors = true;
    fixture.submit(7, {serving, spare});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 2U);
    auto rows = std::vector{OwnerFixture::running(starts[0], 100),
                            OwnerFixture::running(starts[1], 100)};
    const auto servingRow = starts[0].task.step == 0 ? 0U : 1U;
    rows[servingRow].metric = 150;
    fixture.report("t1", rows, {});
    const auto paces = fixture.planned<PaceOrder>();
    ASSERT_EQ(paces.size(), 1U);
    EXPECT_EQ(paces[0].percent, 0);
}

} // namespace cyclamenlatch::scheduling::tests
