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
    using OwnerFixture::OwnerFixture;

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
    void takeOver(bool isListed = true)
    {
        core.targetRestored("t1", now);
        if (isListed) {
            listAs("t1", 1);
        }
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

// A start that is not answered may reach the next incarnation, which the owner does not reach and
// the target's entry may not name yet. A long-running task waits only if the entry names it.
TEST(UnknownLeases, ofAStartWithoutAnswerLastForTheLongestOneIfTheTargetHasRestarted)
{
    for (const bool isLongRunning : {true, false}) {
        for (const bool hasRestarted : {true, false}) {
            UnknownLeasesFixture fixture;
            fixture.join("t1");
            fixture.goOn(longestLease, {"t1"});
            auto step = makeStep(1);
            step.isLongRunning = isLongRunning;
            fixture.submit(7, {step});
            const auto starts = fixture.sendStarts();
            ASSERT_EQ(starts.size(), 1U);
            fixture.join("t2");
            fixture.advance(800ms);
            fixture.core.startAnswered(starts[0], OrderResult::OutcomeUnknown, fixture.now);
            fixture.core.keepAliveFailed("t1", fixture.now);
            fixture.listAs("t1", hasRestarted ? 2000 : 1);
            const bool waits = hasRestarted || !isLongRunning;
            EXPECT_EQ(fixture.goOn(shortLease, {"t2"}).size(), waits ? 0U : 1U);
            if (waits) {
                EXPECT_TRUE(fixture.goOn(longestLease - shortLease - 500ms, {"t2"}).empty());
                EXPECT_EQ(fixture.goOn(500ms, {"t2"}).size(), 1U);
            }
        }
    }
}

// An incarnation that has been in contact for longer than any lease holds none that is unknown.
// That is stored, so that a lost target delays its tasks by no more than its leases.
TEST(UnknownLeases, haveRunOutOnAnIncarnationThatHasLongBeenInContact)
{
    UnknownLeasesFixture first(2);
    first.core.targetRestored("t1", first.now);
    first.join("t1");
    first.goOn(longestLease - 500ms, {"t1"});
    EXPECT_TRUE(first.core.settledIncarnations(first.now).empty());
    first.goOn(700ms, {"t1"});
    const auto settled = first.core.settledIncarnations(first.now);
    EXPECT_EQ(settled, (std::map<std::string, std::int64_t>{{"t1", 1}}));

    for (const bool isListed : {true, false}) {
        UnknownLeasesFixture second(2);
        second.core.restoreSettledIncarnations(settled);
        second.takeOver(isListed);
        EXPECT_EQ(second.goOn(shortLease, {"t2"}).size(), 1U);
    }

    UnknownLeasesFixture afterRestart(2);
    afterRestart.core.restoreSettledIncarnations({{"t1", 1000}});
    afterRestart.takeOver();
    EXPECT_TRUE(afterRestart.goOn(shortLease, {"t2"}).empty());
}

// Guards against long-running tasks that stay down for 10 s: their target was out of reach for
// long, returned without a restart and was lost again, with the store, right after that.
TEST(UnknownLeases, areNotHeldByATargetThatReturnsWithoutARestart)
{
    for (const bool hasOwnerChanged : {false, true}) {
        for (const std::int64_t incarnation : {1, 2000}) {
            UnknownLeasesFixture first;
            first.listAs("t1", 1);
            first.poll("t1", 1);
            first.goOn(longestLease, {"t1"});
            ASSERT_TRUE(first.core.settledIncarnations(first.now).contains("t1"));
            first.core.targetUnlisted("t1", first.now);
            for (int failures = 0; failures < 3; ++failures) {
                first.core.keepAliveFailed("t1", first.now);
            }
            first.goOn(shortLease, {});
            ASSERT_EQ(first.core.target("t1"), nullptr);
            UnknownLeasesFixture second(2);
            second.now = first.now;
            second.core.restoreSettledIncarnations(first.core.settledIncarnations(first.now));
            auto &fixture = hasOwnerChanged ? second : first;
            fixture.listAs("t1", incarnation);
            EXPECT_EQ(fixture.core.settledIncarnations(fixture.now).contains("t1"),
                      incarnation == 1);
            fixture.poll("t1", incarnation);
            fixture.poll("t1", incarnation);
            EXPECT_EQ(fixture.core.settledIncarnations(fixture.now).contains("t1"),
                      incarnation == 1);
        }
    }
}

// Ids of targets that are gone for good do not fill the record.
TEST(UnknownLeases, areRememberedOfABoundedNumberOfTargetsThatAreGone)
{
    UnknownLeasesFixture fixture;
    std::map<std::string, std::int64_t> settled;
    for (int number = 0; number < 5000; ++number) {
        settled["gone-" + std::to_string(number)] = number + 1;
    }
    fixture.core.restoreSettledIncarnations(settled);
    EXPECT_LE(fixture.core.settledIncarnations(fixture.now).size(), 1000U);
}

// An incarnation that is gone is settled no more.
TEST(UnknownLeases, mayBeHeldAgainAfterARestart)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.goOn(longestLease, {"t1"});
    EXPECT_TRUE(fixture.core.settledIncarnations(fixture.now).contains("t1"));
    fixture.poll("t1", 2000);
    EXPECT_FALSE(fixture.core.settledIncarnations(fixture.now).contains("t1"));
    fixture.poll("t1", 2000);
    EXPECT_FALSE(fixture.core.settledIncarnations(fixture.now).contains("t1"));
}

// Targets are stored before their first order, so that nobody has called one that is not: a new
// target delays its tasks by no more than its leases when it is lost.
TEST(UnknownLeases, areNotHeldByATargetThatIsNew)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.startOnFirst();
    fixture.core.keepAliveFailed("t1", fixture.now);
    EXPECT_EQ(fixture.goOn(shortLease, {"t2"}).size(), 1U);
}

// A clock that is behind makes leases last longer; within the margin of leases it does no harm.
TEST(UnknownLeases, areToldByAClockThatIsBehind)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    const auto sentAt = fixture.now;
    const auto clock = fixture.clock();
    fixture.advance(1s);
    EXPECT_FALSE(fixture.core.isOtherClock("t1", clock, sentAt, fixture.now));
    EXPECT_FALSE(fixture.core.isOtherClock("t1", clock + 1s, sentAt, fixture.now));
    EXPECT_FALSE(fixture.core.isOtherClock("t1", clock - 50ms, sentAt, fixture.now));
    EXPECT_TRUE(fixture.core.isOtherClock("t1", clock - 500ms, sentAt, fixture.now));
    EXPECT_TRUE(fixture.core.isOtherClock("t1", clock + 4s, sentAt, fixture.now));
    // The list came after the order was sent, so the target's clock was lower then.
    fixture.poll("t1", 1);
    EXPECT_FALSE(fixture.core.isOtherClock("t1", clock, sentAt, fixture.now));
}

// Guards against two runs of a task: a later owner finds no entry of a target that has restarted,
// and what is stored of the incarnation before must not bound the leases of the present one.
TEST(UnknownLeases, areNotSettledByAnEarlierIncarnation)
{
    for (const bool isToldByEntry : {true, false}) {
        UnknownLeasesFixture first;
        first.listAs("t1", 1);
        first.poll("t1", 1);
        first.goOn(longestLease, {"t1"});
        ASSERT_FALSE(first.core.settledIncarnations(first.now).empty());
        if (isToldByEntry) {
            first.listAs("t1", 2000);
        } else {
            first.poll("t1", 2000);
        }
        const auto settled = first.core.settledIncarnations(first.now);
        EXPECT_TRUE(settled.empty());

        UnknownLeasesFixture second(2);
        second.core.restoreSettledIncarnations(settled);
        second.takeOver(false);
        EXPECT_TRUE(second.goOn(shortLease, {"t2"}).empty());
    }
}

// An answer on another clock shows that somebody else was given a lease of unknown length.
TEST(UnknownLeases, areAssumedAfterAnAnswerOnAnotherClock)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.goOn(longestLease, {"t1"});
    const auto start = fixture.startOnFirst();
    const auto token = fixture.core.fencingToken("t1");
    fixture.core.answeredOnOtherClock("t1", fixture.now);
    EXPECT_GT(fixture.core.fencingToken("t1"), token);
    fixture.poll("t1", 1, {OwnerFixture::running(start)});
    EXPECT_EQ(fixture.core.contact("t1"), OwnerCore::Contact::Reachable);
    fixture.core.keepAliveFailed("t1", fixture.now);
    EXPECT_TRUE(fixture.goOn(longestLease - 500ms, {"t2"}).empty());
    EXPECT_EQ(fixture.goOn(700ms, {"t2"}).size(), 1U);
}

// Guards against work that is done twice: a target that restarts takes calls that were meant for
// its former incarnation. It refuses them from its first call with a higher token on.
TEST(FencingTokens, riseWithEachIncarnation)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto before = fixture.sendStarts();
    ASSERT_EQ(before.size(), 1U);
    EXPECT_EQ(before[0].token, fixture.core.fencingToken("t1"));
    fixture.poll("t1", 2000);
    const auto look = fixture.core.keepAliveOrder("t1", fixture.now);
    EXPECT_GT(look->token, before[0].token);
    EXPECT_EQ(look->leaseUntil, 0ms);
    EXPECT_EQ(look->endsRecorded, 0U);
    fixture.core.startAnswered(before[0], OrderResult::OutcomeUnknown, fixture.now);
    fixture.poll("t1", 2000);
    const auto after = fixture.sendStarts();
    ASSERT_EQ(after.size(), 1U);
    EXPECT_EQ(after[0].token, look->token);
}

// A list that does not fence off earlier calls is not the last word: a start that it does not show
// may still be carried out, so its task is started nowhere else.
TEST(FencingTokens, ofTheFirstListOfAnIncarnationAreRaisedBeforeItCounts)
{
    for (const bool isCarriedOut : {true, false}) {
        UnknownLeasesFixture fixture;
        fixture.join("t1");
        fixture.submit(7, {makeStep(1)});
        const auto starts = fixture.sendStarts();
        ASSERT_EQ(starts.size(), 1U);
        fixture.join("t2");
        fixture.poll("t1", 2000);
        EXPECT_TRUE(fixture.sendStarts().empty());
        std::vector<RunStatus> running;
        if (isCarriedOut) {
            running.push_back(OwnerFixture::running(starts[0]));
        }
        fixture.poll("t1", 2000, running);
        // A call that is not given up may reach yet another incarnation.
        EXPECT_TRUE(fixture.sendStarts().empty());
        fixture.core.startAnswered(starts[0], OrderResult::OutcomeUnknown, fixture.now);
        fixture.poll("t1", 2000, running);
        EXPECT_EQ(fixture.sendStarts().size(), isCarriedOut ? 0U : 1U);
    }
}

// An answer does not tell which incarnation has carried out a start: only a list does.
TEST(FencingTokens, areWaitedForBeforeAStartedTaskIsTakenForGone)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    fixture.join("t2");
    fixture.poll("t1", 2000);
    EXPECT_TRUE(fixture.sendStarts().empty());
    fixture.poll("t1", 2000, {OwnerFixture::running(starts[0])});
    EXPECT_TRUE(fixture.sendStarts().empty());
}

// The second call for a start was answered by the next incarnation, whose clock is another: the run
// that the former one had listed may be at work there.
TEST(FencingTokens, areWaitedForAfterARepeatedStartWasAnsweredOnAnotherClock)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    fixture.advance(2s);
    const auto again = fixture.planned<StartOrder>();
    ASSERT_EQ(again.size(), 1U);
    fixture.core.startAnswered(starts[0], OrderResult::Accepted, fixture.now);
    fixture.poll("t1", 1, {OwnerFixture::running(starts[0])});
    fixture.join("t2");
    KeepAliveReport report;
    report.clock = fixture.clock();
    report.incarnation = 2000;
    report.token = fixture.core.keepAliveOrder("t1", fixture.now)->token;
    fixture.core.answeredOnOtherClock("t1", fixture.now);
    fixture.core.startAnswered(again[0], OrderResult::Accepted, fixture.now);
    fixture.core.keepAliveAnswered("t1", report, fixture.now, fixture.now);
    EXPECT_TRUE(fixture.sendStarts().empty());
    fixture.poll("t1", 2000, {OwnerFixture::running(starts[0])});
    EXPECT_TRUE(fixture.sendStarts().empty());
}

// The token of a target must not fall: the target would refuse its own owner.
TEST(FencingTokens, doNotFallWhenATargetIsForgottenAndListedAgain)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(fixture.sendStarts().size(), 1U);
    fixture.poll("t1", 2000);
    const auto token = fixture.core.fencingToken("t1");
    fixture.core.targetHostDown("t1", fixture.now);
    EXPECT_GE(fixture.core.fencingToken("t1"), token);
    fixture.list("t1");
    EXPECT_GE(fixture.core.keepAliveOrder("t1", fixture.now)->token, token);
}

// An owner leaves the tokens above its own to the next one.
TEST(FencingTokens, stayBelowThoseOfTheNextOwner)
{
    UnknownLeasesFixture fixture;
    const OwnerSettings settings;
    fixture.join("t1");
    for (std::int64_t incarnation = 2; incarnation < 200; ++incarnation) {
        fixture.advance(1s);
        fixture.poll("t1", incarnation);
        fixture.poll("t1", incarnation);
        fixture.poll("t1", incarnation);
        ASSERT_LT(fixture.core.fencingToken("t1"), settings.firstToken + settings.tokenCount);
    }
    EXPECT_EQ(fixture.core.fencingToken("t1"), settings.firstToken + settings.tokenCount - 1);
}

// A target that can't be fenced off any more is not used, and what it may run is started elsewhere.
TEST(FencingTokens, thatAreUsedUpEndTheUseOfTheirTarget)
{
    UnknownLeasesFixture fixture;
    fixture.join("t1");
    std::int64_t incarnation = 1;
    while (fixture.core.keepAliveOrder("t1", fixture.now)) {
        ASSERT_LT(incarnation, 100);
        fixture.poll("t1", ++incarnation);
        fixture.poll("t1", incarnation);
    }
    fixture.goOn(longestLease, {});
    fixture.submit(7, {makeStep(1)});
    EXPECT_TRUE(fixture.sendStarts().empty());
    fixture.join("t2");
    EXPECT_EQ(fixture.sendStarts().size(), 1U);
}

// A target that does not say when it started is known by its clock, which never goes back in one
// life.
TEST(FencingTokens, riseWhenTheClockOfATargetWithoutIncarnationGoesBack)
{
    UnknownLeasesFixture fixture;
    fixture.list("t1");
    fixture.poll("t1", 0);
    fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(fixture.startAll().size(), 1U);
    const auto token = fixture.core.fencingToken("t1");
    KeepAliveReport report;
    report.clock = 5s;
    report.token = token;
    fixture.core.keepAliveAnswered("t1", report, fixture.now, fixture.now);
    EXPECT_GT(fixture.core.fencingToken("t1"), token);
    EXPECT_EQ(fixture.core.contact("t1"), OwnerCore::Contact::NotContacted);
}

// Guards against a long-running task that is away for longer than it may be: it is started again on
// the target that has just restarted, which goes down for good, and its lease there is not known.
TEST(UnknownLeases, areNotWaitedForWhileLongRunningTasksFitElsewhere)
{
    OwnerFixture fixture;
    fixture.join("t1");
    fixture.join("t2");
    fixture.goOn(11s, {"t1", "t2"});
    fixture.core.settledIncarnations(fixture.now);
    auto step = makeStep(1);
    step.isLongRunning = true;
    fixture.submit(7, {step});
    const auto first = fixture.startAll();
    ASSERT_EQ(first.size(), 1U);
    const auto &restarted = first[0].targetId;
    fixture.poll(restarted, 1, {OwnerFixture::running(first[0])});
    fixture.advance(700ms);
    // The second answer is to a call that fences off those for the earlier incarnation.
    fixture.poll(restarted, 2000);
    fixture.poll(restarted, 2000);
    const auto second = fixture.startAll();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].targetId, restarted);
}

} // namespace cyclamenlatch::scheduling::tests
