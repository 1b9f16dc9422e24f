// Tests of starts and keep-alives that are never answered, or are carried out seconds later.
#include "scheduling/responsetimeestimator.h"
#include "scheduling/tests/fleetsimulation.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

// Returns a start that was sent but not answered, to a target that answers keep-alives at once.
StartOrder sendStart(OwnerFixture &fixture)
{
    for (int list = 0; list < 8; ++list) {
        fixture.core.keepAliveOrder("t1", fixture.now);
        fixture.report("t1", {}, {});
    }
    fixture.submit(7, {makeStep(1)});
    fixture.plan();
    fixture.flush();
    const auto starts = fixture.planned<StartOrder>();
    EXPECT_EQ(starts.size(), 1U);
    return starts.front();
}

// Returns the starts that are sent again after the time-out.
std::vector<StartOrder> sendAgain(OwnerFixture &fixture)
{
    fixture.advance(250ms);
    return fixture.planned<StartOrder>();
}

} // namespace

// Guards against missed objectives when 5% of the orders are carried out late: without a retry each
// delayed start cost its job a second and a half, and with it the objective.
TEST(LostAnswers, sendsAnUnansweredStartAgain)
{
    OwnerFixture fixture;
    fixture.join("t1");
    const auto start = sendStart(fixture);
    const auto again = sendAgain(fixture);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].task, start.task);
    EXPECT_EQ(again[0].attempt, start.attempt);
    EXPECT_EQ(again[0].targetId, start.targetId);
    // The retry does not extend the lease: that of an unreachable target must expire.
    EXPECT_EQ(again[0].leaseUntil, start.leaseUntil);
    fixture.core.startAnswered(again[0], OrderResult::Accepted, fixture.now);
    EXPECT_TRUE(sendAgain(fixture).empty());
    // The first call times out, but the run is known to exist.
    fixture.core.startAnswered(start, OrderResult::OutcomeUnknown, fixture.now);
    EXPECT_TRUE(fixture.planned<StopOrder>().empty());
}

TEST(LostAnswers, takesAStaleRetryOfAStartAsStarted)
{
    OwnerFixture fixture;
    fixture.join("t1");
    const auto start = sendStart(fixture);
    const auto again = sendAgain(fixture);
    ASSERT_EQ(again.size(), 1U);
    // The first call reached the target, and the task has ended meanwhile.
    fixture.core.startAnswered(again[0], OrderResult::StaleAttempt, fixture.now);
    fixture.report("t1", {}, {OwnerFixture::end(1, start, RunOutcome::Done)});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    ASSERT_EQ(fixture.flush().writes.size(), 1U);
    EXPECT_FALSE(fixture.core.hasJob(7));
}

// An earlier call may be carried out after the retry was refused, so the task must not be started
// elsewhere before a stop is answered.
TEST(LostAnswers, stopsAStartWhoseRetryIsRefused)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.join("t2");
    const auto start = sendStart(fixture);
    const auto again = sendAgain(fixture);
    ASSERT_EQ(again.size(), 1U);
    fixture.core.startAnswered(again[0], OrderResult::Refused, fixture.now);
    EXPECT_TRUE(fixture.planned<StopOrder>().empty());
    fixture.core.startAnswered(start, OrderResult::OutcomeUnknown, fixture.now);
    const auto orders = fixture.plan();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<StopOrder>(orders[0]));
}

TEST(LostAnswers, retriesNoStartOnAnUnreachableTarget)
{
    OwnerFixture fixture;
    fixture.join("t1");
    sendStart(fixture);
    fixture.core.keepAliveFailed("t1", fixture.now);
    EXPECT_TRUE(sendAgain(fixture).empty());
}

// Guards against tasks that run twice: a keep-alive answer that listed a task as done was delayed
// on the owner's saturated link, and the task was started again right before the answer arrived.
TEST(LostAnswers, takesNoLeaseAsExpiredBeforeACallToTheTargetFailed)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    fixture.join("t2");
    fixture.core.keepAliveOrder("t1", fixture.now);
    fixture.advance(8s);
    fixture.report("t2", {}, {});
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.report("t1", {}, {OwnerFixture::end(1, starts[0], RunOutcome::Done)});
    EXPECT_TRUE(fixture.startAll().empty());
    EXPECT_FALSE(fixture.core.hasJob(7));
}

TEST(LostAnswers, sendsKeepAlivesMoreOftenToTargetsWithShortTasks)
{
    OwnerFixture fixture;
    fixture.join("t1");
    const auto idle = fixture.core.keepAliveOrder("t1", fixture.now);
    fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(fixture.startAll().size(), 1U);
    const auto busy = fixture.core.keepAliveOrder("t1", fixture.now);
    ASSERT_TRUE(idle && busy);
    EXPECT_GE(idle->wait, 1500ms);
    EXPECT_LE(busy->wait, 500ms);
}

TEST(ResponseTimeEstimator, followsResponseTimesAndDoublesTheTimeoutAfterALoss)
{
    ResponseTimeEstimator time;
    const auto before = time.timeout();
    for (int call = 0; call < 50; ++call) {
        time.addSample(5ms);
    }
    const auto quick = time.timeout();
    EXPECT_LT(quick, before);
    time.addTimeout();
    EXPECT_EQ(time.timeout(), 2 * quick);
    for (int call = 0; call < 50; ++call) {
        time.addSample(400ms);
    }
    EXPECT_GE(time.timeout(), 400ms);
    EXPECT_LT(time.timeout(), 1000ms);
}

// One call in twenty is not answered and is carried out seconds later, during the whole simulation.
// With about ten tasks per job that affects half of all jobs.
TEST(LostAnswers, delayFewJobsOfAFleet)
{
    FleetShape shape;
    shape.targetsPerPool = 12;
    shape.jobsPerSecond = 8;
    shape.taskTime = 640ms;
    shape.processorsPerTask = 1000;
    shape.lastingJobsPerPool = 2;
    shape.tasksPerLastingJob = 6;
    FleetSimulation sound(shape);
    sound.play(9s);
    shape.lostShare = 0.05;
    FleetSimulation losing(shape);
    losing.play(9s);
    EXPECT_GT(sound.endedWithin(3s), 0.95);
    EXPECT_GT(losing.endedWithin(3s), 0.85 * sound.endedWithin(3s));
}

} // namespace cyclamenlatch::scheduling::tests
