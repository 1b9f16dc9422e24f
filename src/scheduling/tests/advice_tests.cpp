// Which targets the advice service is asked about, and how often.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

#include <set>

namespace cyclamenlatch::scheduling::tests {

namespace {

class AdviceFixture : public OwnerFixture
{
public:
    explicit AdviceFixture(std::chrono::milliseconds validity = 60s)
        : m_validity(validity)
    {
        setCap(0);
    }

    void setCap(std::int64_t processors)
    {
        auto rules = makeRules();
        rules.workspaces[0].cap.processors = processors;
        auto advised = rules.queues[0];
        advised.name = "advised";
        advised.advice = AdviceRule{400ms, 10ms, m_validity};
        rules.queues.push_back(advised);
        WorkspaceRule other;
        other.name = "other space";
        rules.workspaces.push_back(other);
        core.setRules(rules, now);
    }

    void submitAdvised(JobNumber id, StepSpec step)
    {
        queue = "advised";
        submit(id, {std::move(step)});
        queue = "queue";
    }

    // One plan; starts are accepted, and stores take effect at once. Calls for advice are kept.
    void step(Duration duration = 50ms)
    {
        advance(duration);
        for (int round = 0; round < 2; ++round) {
            for (const auto &order : plan()) {
                if (const auto *start = std::get_if<StartOrder>(&order)) {
                    core.startAnswered(*start, OrderResult::Accepted, now);
                    started.push_back(*start);
                } else if (const auto *advise = std::get_if<AdviseOrder>(&order)) {
                    calls.push_back(*advise);
                }
            }
            flush();
        }
    }

    // The service allows these targets; all that were asked about if there are none.
    void answerLastCall(const std::set<std::string> &allowed = {})
    {
        ASSERT_FALSE(calls.empty());
        std::vector<Advice> approved;
        for (const auto &id : calls.back().targets) {
            if (allowed.empty() || allowed.contains(id)) {
                approved.push_back({id, "ticket"});
            }
        }
        core.adviceAnswered(calls.back(), approved, m_validity, now);
    }

    std::set<std::string> lastAsked() const
    {
        return {calls.back().targets.begin(), calls.back().targets.end()};
    }

    std::size_t starts(JobNumber job) const
    {
        return static_cast<std::size_t>(
                std::count_if(started.begin(), started.end(),
                              [&](const auto &start) { return start.task.job == job; }));
    }

    std::vector<AdviseOrder> calls;
    std::vector<StartOrder> started;

private:
    const std::chrono::milliseconds m_validity;
};

StepSpec makeLongRunning(std::uint32_t count, std::int64_t processors)
{
    auto step = makeStep(count, processors);
    step.isLongRunning = true;
    return step;
}

} // namespace

// Guards against a job that waits for full targets until its tickets run out, while others, never
// asked about, are idle.
TEST(Advice, isAskedAboutOthersWhenTargetsWithATicketAreFull)
{
    AdviceFixture fixture;
    for (const auto *id : {"t1", "t2", "t3", "t4", "t5"}) {
        fixture.join(id);
    }
    fixture.submitAdvised(1, makeStep(1, 10000));
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 1U);
    EXPECT_EQ(fixture.lastAsked(), (std::set<std::string>{"t1", "t2", "t3"}));
    auto spread = makeLongRunning(3, 8000);
    spread.maxTasksPerTarget = 1;
    fixture.submit(2, {spread});
    fixture.step();
    ASSERT_EQ(fixture.starts(2), 3U);
    fixture.answerLastCall();
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 2U);
    EXPECT_EQ(fixture.lastAsked(), (std::set<std::string>{"t4", "t5"}));
    fixture.answerLastCall();
    fixture.step();
    EXPECT_EQ(fixture.starts(1), 1U);
}

// The same for a gang, of which each member needs room.
TEST(Advice, isAskedAboutOthersForAGang)
{
    AdviceFixture fixture;
    for (const auto *id : {"t1", "t2"}) {
        fixture.join(id);
    }
    auto gang = makeStep(2, 10000);
    gang.isGang = true;
    fixture.submitAdvised(1, gang);
    fixture.step();
    fixture.submit(2, {makeLongRunning(1, 8000)});
    fixture.step();
    fixture.join("t3");
    fixture.answerLastCall();
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 2U);
    EXPECT_EQ(fixture.lastAsked(), (std::set<std::string>{"t3"}));
    fixture.answerLastCall();
    fixture.step();
    EXPECT_EQ(fixture.starts(1), 2U);
}

// The same where a target with a ticket is kept free for another task.
TEST(Advice, isAskedAboutOthersWhenTargetsWithATicketAreReserved)
{
    AdviceFixture fixture;
    fixture.join("t1");
    fixture.submit(2, {makeStep(10)}, "other space");
    fixture.step();
    fixture.submit(3, {makeLongRunning(1, 12000)});
    fixture.step(400ms);
    fixture.step(400ms);
    // t1 has six cores left, which are reserved.
    fixture.submitAdvised(1, makeStep(1));
    fixture.step();
    EXPECT_TRUE(fixture.calls.empty());
    fixture.join("t2", Resources{2000, 64000, 0});
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 1U);
    EXPECT_EQ(fixture.lastAsked(), (std::set<std::string>{"t2"}));
    fixture.answerLastCall();
    fixture.step();
    EXPECT_EQ(fixture.starts(1), 1U);
}

// Guards against a long-running task that may have no target reserved for it: all with a ticket
// are full of other long-running tasks.
TEST(Advice, isAskedAboutTargetsThatALongRunningTaskMayReserve)
{
    AdviceFixture fixture;
    for (const auto *id : {"t1", "t2", "t3"}) {
        fixture.join(id);
    }
    fixture.submitAdvised(1, makeLongRunning(1, 12000));
    fixture.step();
    fixture.join("t4");
    auto spread = makeLongRunning(3, 14000);
    spread.maxTasksPerTarget = 1;
    fixture.submit(2, {spread});
    fixture.step();
    fixture.submit(3, {makeStep(24)}, "other space");
    fixture.step();
    fixture.answerLastCall();
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 2U);
    EXPECT_EQ(fixture.calls.back().targets.size(), 1U);
}

// Guards against calls that can't help, with the service answering one at a time.
TEST(Advice, isNotAskedForAgainWhileNothingHasRoom)
{
    AdviceFixture fixture;
    fixture.join("t1");
    fixture.join("t2");
    fixture.submit(2, {makeLongRunning(2, 14000)});
    fixture.step();
    for (JobNumber id = 10; id < 14; ++id) {
        fixture.submitAdvised(id, makeStep(1, 8000));
    }
    fixture.step();
    const auto ahead = fixture.calls.size();
    EXPECT_EQ(ahead, 4U);
    for (const auto &call : std::vector(fixture.calls)) {
        fixture.calls.push_back(call);
        fixture.answerLastCall();
    }
    fixture.calls.clear();
    for (int round = 0; round < 100; ++round) {
        fixture.step();
        fixture.report("t1", {}, {});
        fixture.report("t2", {}, {});
    }
    EXPECT_TRUE(fixture.calls.empty());
}

TEST(Advice, isNotAskedForWhileTheCapIsUsedUpOrOnTargetsThatCannotRunTheStep)
{
    AdviceFixture fixture;
    fixture.join("t1");
    fixture.setCap(2000);
    fixture.submit(2, {makeLongRunning(1, 2000)});
    fixture.step();
    fixture.submitAdvised(1, makeStep(1));
    auto labelled = makeStep(1);
    labelled.requiredLabel = "other label";
    fixture.step();
    EXPECT_TRUE(fixture.calls.empty());
    fixture.setCap(0);
    fixture.core.jobCancelled(1, fixture.now);
    fixture.submitAdvised(3, labelled);
    fixture.step();
    EXPECT_TRUE(fixture.calls.empty());
}

// Guards against a step that never starts: a ticket counted only while it was valid for 300 ms
// more, and the service's tickets are not.
TEST(Advice, isUsedWhereTicketsAreShortLived)
{
    AdviceFixture fixture(200ms);
    fixture.join("t1");
    fixture.submitAdvised(1, makeStep(1));
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 1U);
    fixture.answerLastCall();
    fixture.step();
    EXPECT_EQ(fixture.starts(1), 1U);
}

// Tickets that expire before there may be room are not asked for in a full pool.
TEST(Advice, isNotAskedForAheadWhereTicketsAreShortLived)
{
    AdviceFixture fixture(200ms);
    fixture.join("t1");
    fixture.submit(2, {makeLongRunning(1, 14000)});
    fixture.step();
    fixture.submitAdvised(1, makeStep(1, 8000));
    fixture.step();
    EXPECT_TRUE(fixture.calls.empty());
}

// Advice on a step does not change, so that after a ticket has expired the target that had it is
// asked about before those of which nothing is known.
TEST(Advice, isAskedFirstAboutTargetsThatHadATicket)
{
    AdviceFixture fixture(1000ms);
    fixture.join("t1");
    fixture.submit(2, {makeLongRunning(1, 1000)}, "other space");
    fixture.step();
    fixture.submitAdvised(1, makeStep(1, 8000));
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 1U);
    fixture.core.setHostDraining("t1", true);
    fixture.answerLastCall();
    fixture.step(1100ms);
    fixture.core.setHostDraining("t1", false);
    fixture.poll("t1", 1, {OwnerFixture::running(fixture.started[0])});
    for (int number = 2; number <= 9; ++number) {
        fixture.join("t" + std::to_string(number));
    }
    fixture.step();
    ASSERT_EQ(fixture.calls.size(), 2U);
    EXPECT_TRUE(fixture.lastAsked().contains("t1"));
}

} // namespace cyclamenlatch::scheduling::tests
