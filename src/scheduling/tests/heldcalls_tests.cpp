// Tests of calls that are held back on their way to a target that restarts, and of what the owner
// concludes from lists and answers meanwhile.
#include "scheduling/tests/modeltarget.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

constexpr auto longestLease = 10s;
// Within this time the longest lease has ended on a clock that is 2% slow, margins included.
constexpr auto longestLeaseExpiry = 10700ms;

class HeldCallsFixture : public OwnerFixture
{
public:
    using OwnerFixture::OwnerFixture;

    // The start of one task is on its way to t1, which has long been in contact. t2 is free.
    StartOrder sendToFirst()
    {
        join("t1");
        goOn(longestLeaseExpiry, {"t1"});
        submit(7, {makeStep(1)});
        const auto starts = sendStarts();
        EXPECT_EQ(starts.size(), 1U);
        join("t2");
        return starts.at(0);
    }

    // The start is sent a second time, and neither call has been answered.
    StartOrder sendAgain()
    {
        advance(2s);
        const auto starts = planned<StartOrder>();
        EXPECT_EQ(starts.size(), 1U);
        return starts.at(0);
    }

    // Starts that are made elsewhere before this time.
    std::vector<StartOrder> startedUntil(TimePoint end) { return goOn(end - now, {"t2"}); }
};

} // namespace

// Guards against a task that runs twice: the present incarnation has answered and lists the run,
// and a repeated call for the earlier one that found another process drops it.
TEST(HeldCalls, thatWereNotDeliveredEndNoRunOfTheNextIncarnation)
{
    HeldCallsFixture fixture;
    const auto first = fixture.sendToFirst();
    const auto second = fixture.sendAgain();
    fixture.poll("t1", 2000);
    fixture.poll("t1", 2000, {OwnerFixture::running(first)});
    fixture.core.startAnswered(first, OrderResult::Accepted, fixture.now);
    fixture.core.startAnswered(second, OrderResult::TargetRestarted, fixture.now);
    EXPECT_TRUE(fixture.sendStarts().empty());
}

// Guards against use of a run after it was released: the answer of a repeated call tells of the
// restart, and the run was on the list of the earlier incarnation. Fails with AddressSanitizer;
// without it the run is reported twice.
TEST(HeldCalls, thatTellOfARestartReportARunOnce)
{
    HeldCallsFixture fixture;
    const auto first = fixture.sendToFirst();
    const auto second = fixture.sendAgain();
    fixture.core.startAnswered(first, OrderResult::Accepted, fixture.now);
    fixture.poll("t1", 1, {OwnerFixture::running(first)});
    fixture.core.startAnswered(second, OrderResult::TargetRestarted, fixture.now);
    EXPECT_EQ(std::count_if(fixture.decisions.begin(), fixture.decisions.end(),
                            [&](const auto &decision) {
                                return decision.task == first.task
                                       && (decision.kind == Decision::Kind::TargetRestarted
                                           || decision.kind == Decision::Kind::StartRefused);
                            }),
              1);
}

// Guards against a task that runs twice: the owner has met the next incarnation, and tells the next
// owner that the earlier one holds no unknown leases.
TEST(HeldCalls, leaveNoSettledIncarnationThatIsGone)
{
    HeldCallsFixture fixture;
    fixture.join("t1");
    fixture.goOn(longestLeaseExpiry, {"t1"});
    ASSERT_TRUE(fixture.core.settledIncarnations(fixture.now).contains("t1"));
    fixture.poll("t1", 2000);
    fixture.poll("t1", 2000);
    EXPECT_FALSE(fixture.core.settledIncarnations(fixture.now).contains("t1"));
}

// Guards against a task that runs twice over a change of owners. The call reached the incarnation
// that restarted just before the change. The target is cut off, so that its entry still names the
// earlier incarnation, or has been removed.
TEST(HeldCalls, thatReachedARestartedTargetBeforeAChangeOfOwnersKeepTheLongestLease)
{
    for (const bool isListed : {true, false}) {
        HeldCallsFixture fixture(2);
        const auto leaseEnd = fixture.now - 200ms + longestLease;
        fixture.core.targetRestored("t1", fixture.now);
        fixture.core.restoreSettledIncarnations({{"t1", 1}});
        if (isListed) {
            fixture.listAs("t1", 1);
            fixture.core.keepAliveFailed("t1", fixture.now);
        }
        fixture.join("t2");
        JobProgress progress;
        progress.phase = JobPhase::Running;
        progress.targets = {"t1"};
        fixture.submit(7, {makeStep(1)}, "space", progress, false);
        EXPECT_TRUE(fixture.startedUntil(leaseEnd).empty()) << isListed;
    }
}

// Guards against a task that runs twice: as above, under one owner. The entry may be late or never
// come, so it proves nothing.
TEST(HeldCalls, withoutAnswerKeepTheLongestLeaseWhateverTheEntryNames)
{
    HeldCallsFixture fixture;
    const auto start = fixture.sendToFirst();
    fixture.listAs("t1", 1);
    fixture.core.keepAliveFailed("t1", fixture.now);
    fixture.advance(700ms);
    const auto leaseEnd = fixture.now + longestLease;
    fixture.advance(100ms);
    fixture.core.startAnswered(start, OrderResult::OutcomeUnknown, fixture.now);
    EXPECT_TRUE(fixture.startedUntil(leaseEnd).empty());
}

// Guards against a task that runs twice: a call that is never answered may be carried out seconds
// after it was given up, and grants the longest lease from then on.
TEST(HeldCalls, thatAreCarriedOutSecondsLaterKeepTheLongestLease)
{
    HeldCallsFixture fixture;
    const auto start = fixture.sendToFirst();
    fixture.core.keepAliveFailed("t1", fixture.now);
    fixture.advance(800ms);
    fixture.core.startAnswered(start, OrderResult::OutcomeUnknown, fixture.now);
    fixture.listAs("t1", 2000);
    const auto leaseEnd = fixture.now + 2s + longestLease;
    EXPECT_TRUE(fixture.startedUntil(leaseEnd).empty());
}

// Guards against a list that counts as fenced: it answers a call that was sent before the target
// was forgotten.
TEST(HeldCalls, ofAForgottenTargetAreNotAnsweredByAFencedList)
{
    HeldCallsFixture fixture;
    fixture.join("t1");
    fixture.poll("t1", 1);
    const auto order = fixture.core.keepAliveOrder("t1", fixture.now);
    fixture.core.targetHostDown("t1", fixture.now);
    fixture.list("t1");
    ASSERT_LT(order->token, fixture.core.fencingToken("t1"));
    KeepAliveReport report;
    report.clock = fixture.clock();
    report.incarnation = 1;
    report.token = order->token;
    fixture.core.keepAliveAnswered("t1", report, fixture.now, fixture.now);
    EXPECT_NE(fixture.core.contact("t1"), OwnerCore::Contact::Reachable);
}

// Guards against a long-running task that stays away for long after its target was lost. No owner
// has ever called a target that it has not recorded, so that there are no calls to be late.
TEST(HeldCalls, doNotExistForATargetThatIsNew)
{
    HeldCallsFixture fixture;
    fixture.join("t1");
    auto step = makeStep(1);
    step.isLongRunning = true;
    fixture.submit(7, {step});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    fixture.join("t2");
    fixture.advance(500ms);
    fixture.poll("t1", 1, {OwnerFixture::running(starts[0], 100)});
    fixture.core.keepAliveFailed("t1", fixture.now);
    // Missing for 3 s, from 6 s after the last run.
    EXPECT_EQ(fixture.startedUntil(fixture.now + 9s).size(), 1U);
}

// Guards against a stop that leaves too few tasks at work: the target of the other task has just
// restarted, and its start had a call without an answer.
TEST(HeldCalls, doNotLetALongRunningTaskOfARestartedTargetCountAsAtWork)
{
    HeldCallsFixture fixture;
    fixture.join("t1");
    fixture.join("t2");
    auto step = makeStep(2);
    step.isLongRunning = true;
    step.maxUnavailable = 1;
    step.maxTasksPerTarget = 1;
    fixture.submit(7, {step});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 2U);
    fixture.advance(2s);
    const auto again = fixture.planned<StartOrder>();
    ASSERT_EQ(again.size(), 2U);
    for (const auto &start : starts) {
        const bool isLost = start.targetId == "t1";
        fixture.core.startAnswered(
                start, isLost ? OrderResult::OutcomeUnknown : OrderResult::Accepted, fixture.now);
    }
    for (const auto &start : again) {
        fixture.core.startAnswered(start, OrderResult::Accepted, fixture.now);
        fixture.poll(start.targetId, 1, {OwnerFixture::running(start, 100)});
    }
    fixture.advance(5s);
    for (const auto &start : again) {
        fixture.poll(start.targetId, 1, {OwnerFixture::running(start, 100)});
    }
    fixture.core.keepAliveFailed("t1", fixture.now);
    fixture.poll("t1", 2000);
    fixture.core.setHostDraining("t2", true);
    fixture.plan();
    EXPECT_TRUE(std::none_of(
            fixture.decisions.begin(), fixture.decisions.end(),
            [](const auto &decision) { return decision.kind == Decision::Kind::Evacuated; }));
}

// Guards against a task that runs again after its good end: a keep-alive for an earlier
// incarnation, carried out late by the next one, lets that forget an end that nobody has read.
TEST(HeldCalls, forAnEarlierIncarnationLetTheNextOneForgetNoEnd)
{
    HeldCallsFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto earlier = fixture.startAll();
    ASSERT_EQ(earlier.size(), 1U);
    fixture.poll("t1", 1, {}, {OwnerFixture::end(1, earlier[0], RunOutcome::Done)});
    fixture.flush();
    fixture.poll("t1", 1);
    const auto heldCall = fixture.core.keepAliveOrder("t1", fixture.now);
    fixture.submit(8, {makeStep(1)});
    const auto heldStarts = fixture.sendStarts();
    ASSERT_TRUE(heldCall.has_value());
    ASSERT_EQ(heldStarts.size(), 1U);

    RunRecord record;
    TargetLife life("t1", 2000, 0ms, 1, fixture.now, record);
    EXPECT_EQ(life.start(heldStarts[0], {200ms}, fixture.now), OrderResult::Accepted);
    fixture.advance(1s);
    life.advance(fixture.now);
    EXPECT_TRUE(life.keepAlive(*heldCall, fixture.now));
    EXPECT_TRUE(life.hasEnds());
    fixture.core.startAnswered(heldStarts[0], OrderResult::OutcomeUnknown, fixture.now);
    fixture.core.keepAliveFailed("t1", fixture.now);
    for (int call = 0; call < 3; ++call) {
        const auto order = fixture.core.keepAliveOrder("t1", fixture.now);
        ASSERT_TRUE(order.has_value());
        EXPECT_TRUE(life.keepAlive(*order, fixture.now));
        auto report = life.list(fixture.now);
        report.token = order->token;
        fixture.core.keepAliveAnswered("t1", report, fixture.now, fixture.now);
        EXPECT_TRUE(fixture.sendStarts().empty());
    }
}

} // namespace cyclamenlatch::scheduling::tests
