// Tests of limits of queues and workspaces that the configuration does not name: it no longer does,
// or this owner does not have the one that does.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

FleetRules makeRulesWithoutQueue()
{
    auto rules = makeRules();
    rules.version = 2;
    rules.queues.clear();
    return rules;
}

FleetRules makeRulesWithoutWorkspace()
{
    auto rules = makeRules();
    rules.version = 2;
    rules.workspaces.clear();
    return rules;
}

JobLimits limitsAt(std::uint64_t version, std::uint32_t maxAttempts)
{
    JobLimits limits;
    limits.version = version;
    limits.queue = makeRules().queues[0];
    limits.queue.maxAttempts = maxAttempts;
    limits.workspace = makeRules().workspaces[0];
    return limits;
}

class FormerLimitsFixture : public OwnerFixture
{
public:
    using OwnerFixture::OwnerFixture;

    void setRules(const FleetRules &rules) { core.setRules(rules, now); }

    // Starts the job's tasks and lets each run fail, until nothing starts any more.
    std::size_t failUntilNothingStarts()
    {
        std::size_t runs = 0;
        for (int round = 0; round < 10; ++round) {
            advance(600ms);
            const auto starts = startAll();
            for (const auto &start : starts) {
                ++runs;
                report(start.targetId, {}, {end(++m_ends, start, RunOutcome::Failed)});
            }
        }
        return runs;
    }

    bool hasFailed(JobNumber job) const
    {
        return std::any_of(decisions.begin(), decisions.end(), [&](const auto &decision) {
            return decision.kind == Decision::Kind::JobEnded && decision.task.job == job
                   && decision.detail == "failed";
        });
    }

private:
    std::uint64_t m_ends = 0;
};

} // namespace

// Guards against jobs that fail too early: a queue was removed and its job ended after one of three
// attempts.
TEST(FormerLimits, keepTheAttemptsOfAQueueThatIsGone)
{
    FormerLimitsFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    fixture.setRules(makeRulesWithoutQueue());
    // A further configuration without the queue changes nothing.
    fixture.setRules(makeRulesWithoutQueue());
    fixture.report("t1", {}, {OwnerFixture::end(1, starts[0], RunOutcome::Failed)});
    EXPECT_FALSE(fixture.hasFailed(7));
    fixture.advance(600ms);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

TEST(FormerLimits, endAJobAfterTheAttemptsOfAQueueThatIsGone)
{
    FormerLimitsFixture fixture;
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    fixture.setRules(makeRulesWithoutQueue());
    EXPECT_EQ(fixture.failUntilNothingStarts(), 3U);
    EXPECT_TRUE(fixture.hasFailed(7));
}

// The same for an owner that has never had a configuration with the queue.
TEST(FormerLimits, areTakenFromTheStoredJobByANewOwner)
{
    FormerLimitsFixture fixture(2);
    fixture.setRules(makeRulesWithoutQueue());
    fixture.join("t1");
    fixture.limits = limitsAt(1, 3);
    fixture.submit(7, {makeStep(1)}, "space", {}, false);
    EXPECT_EQ(fixture.failUntilNothingStarts(), 3U);
    EXPECT_TRUE(fixture.hasFailed(7));
}

// A queue was changed and then removed; the limits of its latest version hold for all its jobs.
TEST(FormerLimits, areThoseOfTheLatestConfiguration)
{
    FormerLimitsFixture fixture(2);
    fixture.setRules(makeRulesWithoutQueue());
    fixture.join("t1");
    fixture.limits = limitsAt(9, 5);
    fixture.submit(6, {makeStep(1, 20000)});
    fixture.limits = limitsAt(4, 2);
    fixture.submit(7, {makeStep(1)});
    EXPECT_EQ(fixture.failUntilNothingStarts(), 5U);
}

// Guards against a run beyond the limit and against a job that fails without cause: nothing is
// known about the queue, so a task that has failed waits for the configuration that names it.
TEST(FormerLimits, thatAreUnknownNeitherFailAJobNorStartAFailedTask)
{
    FormerLimitsFixture fixture(2);
    fixture.setRules(makeRulesWithoutQueue());
    fixture.join("t1");
    fixture.submit(7, {makeStep(2)});
    EXPECT_EQ(fixture.failUntilNothingStarts(), 2U);
    EXPECT_FALSE(fixture.hasFailed(7));
    fixture.setRules(makeRules());
    EXPECT_EQ(fixture.startAll().size(), 2U);
}

// Guards against a run beyond the limit: it was lowered after the task had failed twice.
TEST(FormerLimits, doNotOutliveALowerLimit)
{
    FormerLimitsFixture fixture(2);
    fixture.join("t1");
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.steps[{0, 0}].failedAttempts[0] = {1, 2};
    auto rules = makeRules();
    rules.queues[0].maxAttempts = 2;
    fixture.setRules(rules);
    fixture.submit(7, {makeStep(2)}, "space", progress, false);
    EXPECT_TRUE(fixture.startAll().empty());
    EXPECT_TRUE(fixture.hasFailed(7));
}

// The same for a gang, which fails as a whole.
TEST(FormerLimits, holdForGangs)
{
    FormerLimitsFixture fixture(2);
    fixture.join("t1");
    auto gang = makeStep(2);
    gang.isGang = true;
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.steps[{0, 0}].failedAttempts[0] = {1, 2};
    fixture.submit(7, {gang}, "space", progress, false);
    fixture.setRules(makeRulesWithoutQueue());
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 2U);
    fixture.report("t1", {}, {OwnerFixture::end(1, starts[0], RunOutcome::Failed)});
    EXPECT_TRUE(fixture.hasFailed(7));
}

// Long-running tasks are restarted however often they have failed.
TEST(FormerLimits, doNotHoldForLongRunningTasks)
{
    FormerLimitsFixture fixture;
    fixture.join("t1");
    auto longRunning = makeStep(1);
    longRunning.isLongRunning = true;
    fixture.submit(7, {longRunning});
    fixture.setRules(makeRulesWithoutQueue());
    EXPECT_GT(fixture.failUntilNothingStarts(), 3U);
}

// Guards against jobs of a removed queue that overtake all others.
TEST(FormerLimits, keepThePriorityOfAQueueThatIsGone)
{
    FormerLimitsFixture fixture;
    auto rules = makeRules();
    rules.queues[0].priority = 2;
    auto urgent = rules.queues[0];
    urgent.name = "urgent";
    urgent.priority = 1;
    rules.queues.push_back(urgent);
    fixture.setRules(rules);
    fixture.join("t1");
    fixture.submit(7, {makeStep(1, 16000)});
    fixture.queue = "urgent";
    fixture.submit(8, {makeStep(1, 16000)});
    rules.queues.erase(rules.queues.begin());
    fixture.setRules(rules);
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, 8U);
}

// Guards against starts without a ticket, which targets refuse.
TEST(FormerLimits, keepTheAdviceOfAQueueThatIsGone)
{
    FormerLimitsFixture fixture;
    auto rules = makeRules();
    rules.queues[0].advice = AdviceRule{50ms, 5ms, 3000ms};
    fixture.setRules(rules);
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    fixture.setRules(makeRulesWithoutQueue());
    const auto asked = fixture.planned<AdviseOrder>();
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.core.adviceAnswered(asked[0], std::vector<Advice>{{"t1", "pass"}}, 3000ms, fixture.now);
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].ticket, "pass");
}

// Guards against a reservation on a target that advice excludes, after the queue was removed.
TEST(FormerLimits, keepReservationsToAdvisedTargets)
{
    FormerLimitsFixture fixture;
    auto rules = makeRules();
    auto advised = rules.queues[0];
    advised.name = "advised";
    advised.advice = AdviceRule{50ms, 5ms, 3000ms};
    rules.queues.push_back(advised);
    fixture.setRules(rules);
    fixture.join("t1");
    auto longRunning = makeStep(1, 9000);
    longRunning.isLongRunning = true;
    fixture.queue = "advised";
    fixture.submit(7, {longRunning});
    fixture.setRules(makeRules());
    const auto asked = fixture.planned<AdviseOrder>();
    ASSERT_EQ(asked.size(), 1U);
    fixture.core.adviceAnswered(asked[0], std::vector<Advice>{}, 3000ms, fixture.now);
    fixture.advance(1s);
    fixture.startAll();
    fixture.queue = "queue";
    fixture.submit(8, {makeStep(4)});
    EXPECT_EQ(fixture.startAll().size(), 4U);
}

// Guards against tasks beyond the cap of a workspace that was removed.
TEST(FormerLimits, keepTheCapOfAWorkspaceThatIsGone)
{
    FormerLimitsFixture fixture;
    auto rules = makeRules();
    rules.workspaces[0].cap = Resources{3000, 0, 0};
    fixture.setRules(rules);
    fixture.join("t1");
    fixture.submit(7, {makeStep(10)});
    fixture.setRules(makeRulesWithoutWorkspace());
    EXPECT_EQ(fixture.startAll().size(), 3U);
}

TEST(FormerLimits, giveANewOwnerTheCapThatIsStoredWithTheJob)
{
    FormerLimitsFixture fixture(2);
    fixture.setRules(makeRulesWithoutWorkspace());
    fixture.join("t1");
    fixture.limits = limitsAt(1, 3);
    fixture.limits->workspace.cap = Resources{3000, 0, 0};
    fixture.submit(7, {makeStep(10)}, "space", {}, false);
    EXPECT_EQ(fixture.startAll().size(), 3U);
}

// A cap that is not known may be any; jobs of a public queue have no workspace and no cap.
TEST(FormerLimits, startNothingOfAWorkspaceWhoseCapIsUnknown)
{
    FormerLimitsFixture fixture(2);
    fixture.setRules(makeRulesWithoutWorkspace());
    fixture.join("t1");
    fixture.submit(7, {makeStep(1)});
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.submit(8, {makeStep(1)}, "");
    EXPECT_EQ(fixture.startAll().size(), 1U);
    fixture.setRules(makeRules());
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// Guards against a workspace that takes more than its share once the configuration does not name
// it: its jobs beyond the rate come after those of others.
TEST(FormerLimits, keepTheWeightOfAWorkspaceThatIsGone)
{
    FormerLimitsFixture fixture(2);
    auto rules = makeRulesWithoutWorkspace();
    WorkspaceRule other;
    other.name = "other";
    other.weight = 10;
    rules.workspaces.push_back(other);
    fixture.setRules(rules);
    fixture.join("t1");
    fixture.limits = limitsAt(1, 3);
    fixture.limits->workspace.weight = 1;
    fixture.submit(6, {makeStep(1)});
    fixture.submit(7, {makeStep(1, 15000)});
    fixture.submit(8, {makeStep(1, 15000)}, "other");
    const auto starts = fixture.startAll();
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_TRUE(std::any_of(starts.begin(), starts.end(),
                            [](const auto &start) { return start.task.job == 8U; }));
}

} // namespace cyclamenlatch::scheduling::tests
