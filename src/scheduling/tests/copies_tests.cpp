// Second runs of tasks whose steps allow copies.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling {
namespace {

using namespace std::chrono_literals;

class Copies : public tests::OwnerFixture, public testing::Test
{
protected:
    static StepSpec copyable(std::uint32_t count = 1, std::int64_t processors = 1000)
    {
        auto step = tests::makeStep(count, processors);
        step.allowsCopies = true;
        return step;
    }

    // Starts the job's only task and lets it report this progress after that time.
    StartOrder runSlowly(JobNumber job, const StepSpec &step, Duration time = 1s, int percent = 10)
    {
        submit(job, {step});
        const auto starts = startAll();
        EXPECT_EQ(starts.size(), 1U);
        advance(time);
        report(starts.front().targetId, {running(starts.front(), percent)}, {});
        return starts.front();
    }

    std::vector<StartOrder> copies()
    {
        advance(100ms);
        return startAll();
    }

    static std::string other(const StartOrder &start)
    {
        return start.targetId == "t-1" ? "t-2" : "t-1";
    }
    std::size_t decided(Decision::Kind kind) const
    {
        return static_cast<std::size_t>(
                std::count_if(decisions.begin(), decisions.end(),
                              [&](const auto &decision) { return decision.kind == kind; }));
    }
};

// Load pattern: some tasks take several times as long as expected, or their target is slow.
TEST_F(Copies, runATaskElsewhereWhenItsRestTakesLongerThanANewRun)
{
    join("t-1");
    join("t-2");
    const auto first = runSlowly(1, copyable());
    const auto second = copies();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second.front().task, first.task);
    EXPECT_EQ(second.front().targetId, other(first));
    EXPECT_GT(second.front().attempt, first.attempt);
    // One copy is enough.
    EXPECT_TRUE(copies().empty());
    EXPECT_EQ(decided(Decision::Kind::Copied), 1U);
}

TEST_F(Copies, areNotMadeOfTasksThatEndSoon)
{
    join("t-1");
    join("t-2");
    runSlowly(1, copyable(), 500ms, 60);
    EXPECT_TRUE(copies().empty());
}

TEST_F(Copies, areNotMadeOfStepsThatDoNotAllowThem)
{
    join("t-1");
    join("t-2");
    runSlowly(1, tests::makeStep(1));
    EXPECT_TRUE(copies().empty());
}

TEST_F(Copies, takeNoRoomThatWaitingTasksWant)
{
    join("t-1");
    join("t-2");
    runSlowly(1, copyable());
    submit(2, {tests::makeStep(40)});
    const auto starts = startAll();
    EXPECT_EQ(starts.size(), 31U);
    EXPECT_TRUE(copies().empty());
}

TEST_F(Copies, takeASmallPartOfThePool)
{
    join("t-1");
    join("t-2");
    submit(1, {copyable(8)});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 8U);
    advance(1s);
    std::vector<RunStatus> rows;
    rows.reserve(starts.size());
    for (const auto &start : starts) {
        rows.push_back(running(start, 5));
    }
    report(starts.front().targetId, rows, {});
    // A tenth of 32 cores.
    EXPECT_EQ(copies().size(), 3U);
    EXPECT_TRUE(copies().empty());
}

TEST_F(Copies, endTheTaskWhenTheyEndFirstAndStopTheOtherRun)
{
    join("t-1");
    join("t-2");
    const auto first = runSlowly(1, copyable());
    const auto second = copies();
    ASSERT_EQ(second.size(), 1U);
    report(other(first), {}, {end(1, second.front(), RunOutcome::Done)});
    const auto stops = planned<StopOrder>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops.front().targetId, first.targetId);
    EXPECT_EQ(stops.front().attempt, first.attempt);
    const auto written = flush();
    ASSERT_EQ(written.writes.size(), 1U);
    EXPECT_EQ(written.writes.front().progress.phase, JobPhase::Completed);
    EXPECT_EQ(decided(Decision::Kind::CopyStopped), 1U);
}

TEST_F(Copies, leaveTheTaskToTheFirstRunWhenTheyFail)
{
    join("t-1");
    join("t-2");
    const auto first = runSlowly(1, copyable());
    const auto second = copies();
    ASSERT_EQ(second.size(), 1U);
    report(other(first), {}, {end(1, second.front(), RunOutcome::Failed)});
    EXPECT_TRUE(planned<StopOrder>().empty());
    report(first.targetId, {}, {end(1, first, RunOutcome::Done)});
    EXPECT_EQ(flush().writes.front().progress.phase, JobPhase::Completed);
}

TEST_F(Copies, goOnAloneWhenTheFirstRunFails)
{
    join("t-1");
    join("t-2");
    const auto first = runSlowly(1, copyable());
    const auto second = copies();
    ASSERT_EQ(second.size(), 1U);
    report(first.targetId, {}, {end(1, first, RunOutcome::Failed)});
    EXPECT_TRUE(startAll().empty());
    report(other(first), {}, {end(1, second.front(), RunOutcome::Done)});
    EXPECT_EQ(flush().writes.front().progress.phase, JobPhase::Completed);
}

// Failure: a target falls silent, and its tasks would wait until its lease has expired.
TEST_F(Copies, areMadeOfTasksOnASilentTarget)
{
    join("t-1");
    join("t-2");
    const auto first = runSlowly(1, copyable(), 100ms, 50);
    core.keepAliveFailed(first.targetId, now);
    EXPECT_TRUE(copies().empty());
    advance(600ms);
    report(other(first), {}, {});
    const auto second = copies();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second.front().targetId, other(first));
}

// Failure: the owner changes while a task runs twice.
TEST_F(Copies, areBothTakenOverByTheNextOwner)
{
    join("t-1");
    join("t-2");
    const auto first = runSlowly(1, copyable());
    const auto second = copies();
    ASSERT_EQ(second.size(), 1U);
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.targets = {"t-1", "t-2"};

    tests::OwnerFixture next(2);
    next.now = now;
    next.core.targetRestored("t-1", now);
    next.core.targetRestored("t-2", now);
    next.list("t-1");
    next.list("t-2");
    next.submit(1, {copyable()}, "space", progress, false);
    next.report(first.targetId, {running(first)}, {});
    next.report(other(first), {running(second.front())}, {});
    EXPECT_TRUE(next.planned<StopOrder>().empty());
    next.report(other(first), {}, {end(1, second.front(), RunOutcome::Done)});
    EXPECT_EQ(next.planned<StopOrder>().size(), 1U);
}

} // namespace
} // namespace cyclamenlatch::scheduling
