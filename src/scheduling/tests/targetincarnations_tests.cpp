// Tests of orders for a target that restarts under its id: they name the incarnation that they are
// for, and one that could not be delivered ends only what it was for.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

class IncarnationFixture : public OwnerFixture
{
public:
    IncarnationFixture() { join("t1"); }

    // Two keep-alives: the second one has the token that fences off calls for the one before.
    void reportAs(std::int64_t incarnation, std::vector<RunStatus> running = {})
    {
        poll("t1", incarnation, running);
        poll("t1", incarnation, running);
    }
};

} // namespace

TEST(TargetIncarnations, areNamedInEachOrder)
{
    IncarnationFixture fixture;
    fixture.reportAs(2000);
    fixture.submit(7, {makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].incarnation, 2000);
    EXPECT_EQ(fixture.core.keepAliveOrder("t1", fixture.now)->incarnation, 2000);
    fixture.core.jobCancelled(7, fixture.now);
    const auto stops = fixture.planned<StopOrder>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].incarnation, 2000);
}

// An entry that tells of a restart does not change the incarnation that orders are for: only the
// target's own answer does.
TEST(TargetIncarnations, areThoseThatHaveAnswered)
{
    IncarnationFixture fixture;
    auto info = *fixture.core.target("t1");
    info.incarnation = 9000;
    fixture.core.targetListed(info, fixture.now);
    EXPECT_EQ(fixture.core.keepAliveOrder("t1", fixture.now)->incarnation, 1);
}

// Guards against work that waits for nothing: a start that found another incarnation was not
// carried out, so its task is started again once the target's list shows what runs there.
TEST(TargetIncarnations, aStartThatFoundAnotherOneIsMadeAgainAfterTheNextList)
{
    for (const unsigned calls : {1U, 2U}) {
        IncarnationFixture fixture;
        fixture.submit(7, {makeStep(1)});
        const auto starts = fixture.sendStarts();
        ASSERT_EQ(starts.size(), 1U);
        if (calls == 2) {
            fixture.advance(2s);
            ASSERT_EQ(fixture.planned<StartOrder>().size(), 1U);
        }
        for (unsigned call = 0; call < calls; ++call) {
            fixture.core.startAnswered(starts[0], OrderResult::TargetRestarted, fixture.now);
        }
        EXPECT_EQ(fixture.core.contact("t1"), OwnerCore::Contact::NotContacted);
        EXPECT_TRUE(fixture.sendStarts().empty());
        fixture.reportAs(2000);
        const auto next = fixture.sendStarts();
        ASSERT_EQ(next.size(), 1U);
        EXPECT_EQ(next[0].incarnation, 2000);
        EXPECT_GT(next[0].attempt, starts[0].attempt);
    }
}

// The result of a start for an earlier incarnation says nothing about the present one.
TEST(TargetIncarnations, aLateResultForAnEarlierOneLeavesTheTargetInUse)
{
    IncarnationFixture fixture;
    fixture.submit(7, {makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    fixture.reportAs(2000);
    fixture.core.startAnswered(starts[0], OrderResult::TargetRestarted, fixture.now);
    EXPECT_EQ(fixture.core.contact("t1"), OwnerCore::Contact::Reachable);
    EXPECT_EQ(fixture.sendStarts().size(), 1U);
}

// Stops that a restart calls for go to the new incarnation: the earlier one is gone.
TEST(TargetIncarnations, ofStopsAfterARestartAreTheNewOnes)
{
    IncarnationFixture fixture;
    fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(fixture.sendStarts().size(), 1U);
    fixture.reportAs(2000);
    for (const auto &stop : fixture.planned<StopOrder>()) {
        EXPECT_EQ(stop.incarnation, 2000);
    }
}

// Guards against stopped tasks: calls that found no connection to the target's incarnation count as
// lost, and after three lost calls a start is given up although the first one may be at work.
TEST(TargetIncarnations, startCallsThatWereNotSentAreMadeAgain)
{
    IncarnationFixture fixture;
    fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(fixture.sendStarts().size(), 1U);
    for (int call = 0; call < 5; ++call) {
        fixture.advance(2s);
        fixture.report("t1", {}, {});
        const auto again = fixture.planned<StartOrder>();
        ASSERT_EQ(again.size(), 1U);
        fixture.core.startAnswered(again[0], OrderResult::NotSent, fixture.now);
        EXPECT_TRUE(fixture.planned<StopOrder>().empty());
    }
}

} // namespace cyclamenlatch::scheduling::tests
