// Tests of what is known of a target's former incarnation: it must not be used for the present one,
// which may be of another kind.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

constexpr auto adviceValidity = 30000ms;

class FormerIncarnationFixture : public OwnerFixture
{
public:
    // The target's entry describes this incarnation.
    void listAs(const std::string &id, std::int64_t incarnation,
                Resources capacity = Resources{16000, 64000, 0},
                std::vector<std::string> labels = {"a", "r1"})
    {
        TargetInfo info;
        info.id = id;
        info.service = service;
        info.address = "10.0.0.1:80";
        info.labels = std::move(labels);
        info.capacity = capacity;
        info.incarnation = incarnation;
        core.targetListed(info, now);
        core.targetRecorded(id);
    }

    // The first list, and the one that answers a call with the raised token.
    void answerAs(const std::string &id, std::int64_t incarnation,
                  const std::vector<RunStatus> &running = {})
    {
        poll(id, incarnation, running);
        poll(id, incarnation, running);
    }

    void useAdvice()
    {
        auto rules = makeRules();
        rules.queues[0].advice = AdviceRule{50ms, 5ms, adviceValidity};
        core.setRules(rules, now);
    }
};

} // namespace

// Guards against starts by the labels and the capacity of the life before: the target's list may
// come before its entry.
TEST(FormerIncarnations, haveEntriesThatDoNotDescribeTheNextOne)
{
    FormerIncarnationFixture fixture;
    fixture.listAs("t1", 1);
    fixture.answerAs("t1", 1);
    fixture.answerAs("t1", 2000);
    auto step = makeStep(1);
    step.requiredLabel = "a";
    fixture.submit(7, {step});
    EXPECT_TRUE(fixture.sendStarts().empty());
    fixture.listAs("t1", 2000, Resources{16000, 64000, 0}, {"b", "r1"});
    fixture.answerAs("t1", 2000);
    EXPECT_TRUE(fixture.sendStarts().empty());
    fixture.submit(8, {makeStep(1)});
    EXPECT_EQ(fixture.sendStarts().size(), 1U);
}

// Guards against refused starts: tickets hold for one life of a target.
TEST(FormerIncarnations, haveTicketsThatTheNextOneDoesNotTake)
{
    FormerIncarnationFixture fixture;
    fixture.useAdvice();
    fixture.listAs("t1", 1);
    fixture.answerAs("t1", 1);
    fixture.submit(7, {makeStep(1)});
    const auto asked = fixture.planned<AdviseOrder>();
    ASSERT_EQ(asked.size(), 1U);
    fixture.core.adviceAnswered(asked[0], std::vector<Advice>{{"t1", "before"}}, adviceValidity,
                                fixture.now);
    fixture.listAs("t1", 2000);
    fixture.answerAs("t1", 2000);
    EXPECT_TRUE(fixture.sendStarts().empty());
}

// The advice service answered for the life before: it may refuse the one and allow the other.
TEST(FormerIncarnations, haveAdviceThatIsAskedForAgain)
{
    for (const bool isAnsweredBefore : {true, false}) {
        FormerIncarnationFixture fixture;
        fixture.useAdvice();
        fixture.listAs("t1", 1);
        fixture.answerAs("t1", 1);
        fixture.submit(7, {makeStep(1)});
        const auto asked = fixture.planned<AdviseOrder>();
        ASSERT_EQ(asked.size(), 1U);
        const auto answer = [&] {
            fixture.core.adviceAnswered(asked[0], std::vector<Advice>{}, adviceValidity,
                                        fixture.now);
        };
        if (isAnsweredBefore) {
            answer();
        }
        fixture.listAs("t1", 2000);
        fixture.answerAs("t1", 2000);
        if (!isAnsweredBefore) {
            answer();
        }
        const auto again = fixture.planned<AdviseOrder>();
        ASSERT_EQ(again.size(), 1U);
        fixture.core.adviceAnswered(again[0], std::vector<Advice>{{"t1", "after"}}, adviceValidity,
                                    fixture.now);
        const auto starts = fixture.sendStarts();
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts[0].ticket, "after");
    }
}

// Guards against two runs on one target: a start that was not answered went to the former
// incarnation, and the next one runs an earlier attempt, whose call was carried out late. The
// start is fenced off; sending it again would run the task beside that attempt.
TEST(FormerIncarnations, haveStartsThatAreNotMadeAgainBesideAnEarlierAttempt)
{
    FormerIncarnationFixture fixture;
    fixture.listAs("t1", 1);
    fixture.answerAs("t1", 1);
    fixture.submit(7, {makeStep(1)});
    const auto first = fixture.startAll();
    ASSERT_EQ(first.size(), 1U);
    fixture.poll("t1", 1, {}, {OwnerFixture::end(1, first[0], RunOutcome::Stopped)});
    const auto second = fixture.sendStarts();
    ASSERT_EQ(second.size(), 1U);
    ASSERT_GT(second[0].attempt, first[0].attempt);
    fixture.listAs("t1", 2000);
    for (int list = 0; list < 8; ++list) {
        fixture.poll("t1", 2000, {OwnerFixture::running(first[0])});
        EXPECT_TRUE(fixture.sendStarts().empty());
        fixture.advance(500ms);
    }
}

// Guards against a long-running task that stays away: a target stayed reserved for it that had come
// back smaller than the task.
TEST(FormerIncarnations, haveReservationsThatEndIfTheNextOneIsTooSmall)
{
    FormerIncarnationFixture fixture;
    for (const char *id : {"t1", "t2"}) {
        fixture.listAs(id, 1);
        fixture.answerAs(id, 1);
    }
    fixture.submit(7, {makeStep(2, 15000)});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 2U);
    const auto &onSecond = starts[starts[0].targetId == "t2" ? 0 : 1];
    auto lasting = makeStep(1, 10000);
    lasting.isLongRunning = true;
    fixture.submit(8, {lasting});
    std::string reserved;
    const auto goOn = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            fixture.advance(100ms);
            fixture.poll("t2", 1, {OwnerFixture::running(onSecond)});
            fixture.sendStarts();
        }
        for (const auto &decision : fixture.decisions) {
            reserved = decision.kind == Decision::Kind::Reserved ? decision.target : reserved;
        }
    };
    goOn(5);
    ASSERT_EQ(reserved, "t1");
    fixture.listAs("t1", 2000, Resources{4000, 64000, 0});
    fixture.answerAs("t1", 2000);
    goOn(15);
    EXPECT_EQ(reserved, "t2");
}

// Guards against hosts that are taken down under work: the entry of the target that ran there
// before stays for some time, and its leases expire.
TEST(FormerIncarnations, areNotTakenForTheTargetOfTheirHost)
{
    for (const bool isFormerFirst : {true, false}) {
        FormerIncarnationFixture fixture;
        TargetInfo info;
        info.service = "pool";
        info.address = "10.0.0.1:80";
        info.host = "m1";
        for (const bool isFormer : {true, false}) {
            info.id = isFormer == isFormerFirst ? "t1" : "t2";
            info.incarnation = isFormer ? 1000 : 9000;
            fixture.core.targetListed(info, fixture.now);
        }
        EXPECT_EQ(fixture.core.targetOn("m1"), isFormerFirst ? "t2" : "t1");
        EXPECT_EQ(fixture.core.targetOn("m2"), "");
    }
}

} // namespace cyclamenlatch::scheduling::tests
