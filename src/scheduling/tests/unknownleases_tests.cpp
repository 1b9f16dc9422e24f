// Tests of leases that the owner does not know: those that a target may have granted on calls for
// its earlier incarnation, or of an earlier owner. No task is started while another run of it may
// hold one.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

// After these times the leases have ended on a clock that is 2% slow, margins included.
constexpr auto shortLease = 5s;
constexpr auto longestLease = 10700ms;

class UnknownLeasesFixture : public OwnerFixture
{
public:
    explicit UnknownLeasesFixture(std::uint64_t term = 1)
        : OwnerFixture(term)
    {}

    // The target's entry in the platform's store names this incarnation.
    void listAs(const std::string &id, std::int64_t incarnation)
    {
        list(id);
        auto info = *core.target(id);
        info.incarnation = incarnation;
        core.targetListed(info, now);
    }

    // One task is at work on t1, and t2 is free.
    StartOrder startOnFirst()
    {
        submit(7, {makeStep(1)});
        const auto starts = startAll();
        EXPECT_EQ(starts.size(), 1U);
        join("t2");
        return starts.at(0);
    }

    // A new owner knows from the store that t1 may run the task, and does not reach t1.
    void takeOver()
    {
        listAs("t1", 1);
        join("t2");
        JobProgress progress;
        progress.phase = JobPhase::Running;
        progress.targets = {"t1"};
        submit(7, {makeStep(1)}, "space", progress, false);
        core.keepAliveFailed("t1", now);
    }
};

} // namespace

// Guards against two runs of a task: a call for the former incarnation gave the present one a lease
// of 10 s before the owner's first call, and the owner counted on 4.5 s.
TEST(UnknownLeases, ofANewIncarnationLastForTheLongestOne)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.poll("t1", 2000);
    fixture.poll("t1", 2000);
    fixture.startOnFirst();
    fixture.core.keepAliveFailed("t1", fixture.now);
    EXPECT_TRUE(fixture.goOn(longestLease - 500ms, {"t2"}).empty());
    const auto starts = fixture.goOn(700ms, {"t2"});
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].targetId, "t2");
}

// Guards against two runs of a task over a change of owners: the second owner took every lease of a
// target that it does not reach for 4.5 s at most.
TEST(UnknownLeases, ofATargetThatANewOwnerDoesNotReachLastForTheLongestOne)
{
    UnknownLeasesFixture fixture(2);
    fixture.takeOver();
    EXPECT_TRUE(fixture.goOn(longestLease - 200ms, {"t2"}).empty());
    EXPECT_EQ(fixture.goOn(300ms, {"t2"}).size(), 1U);
}

// A start that is not answered may reach the next incarnation, which the owner does not reach: the
// target's entry tells that there is one.
TEST(UnknownLeases, ofAStartWithoutAnswerLastForTheLongestOneIfTheTargetHasRestarted)
{
    for (const bool hasRestarted : {true, false}) {
        UnknownLeasesFixture fixture;
        fixture.join("t1");
        fixture.goOn(longestLease, {"t1"});
        fixture.submit(7, {makeStep(1)});
        const auto starts = fixture.sendStarts();
        ASSERT_EQ(starts.size(), 1U);
        fixture.join("t2");
        fixture.advance(800ms);
        fixture.core.startAnswered(starts[0], OrderResult::OutcomeUnknown, fixture.now);
        fixture.core.keepAliveFailed("t1", fixture.now);
        fixture.listAs("t1", hasRestarted ? 2000 : 1);
        EXPECT_EQ(fixture.goOn(shortLease, {"t2"}).size(), hasRestarted ? 0U : 1U);
        if (hasRestarted) {
            EXPECT_EQ(fixture.goOn(longestLease - shortLease, {"t2"}).size(), 1U);
        }
    }
}

} // namespace cyclamenlatch::scheduling::tests
