// Records of jobs that grow too large for the store.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling {
namespace {

using namespace std::chrono_literals;

class RejectedRecords : public tests::OwnerFixture, public testing::Test
{
protected:
    JobSubmission timedJob(std::uint32_t occurrences) const
    {
        JobSubmission submission;
        submission.id = 1;
        submission.queue = queue;
        submission.service = service;
        submission.workspace = "space";
        submission.submitted = wall();
        submission.spec.steps = {tests::makeStep(1)};
        submission.spec.repeatCount = occurrences;
        submission.spec.firstDue = wall();
        submission.spec.interval = 10ms;
        return submission;
    }

    // Ends all tasks that are due, until so many have ended.
    void endTasks(std::size_t count)
    {
        while (m_ended < count) {
            advance(10ms);
            std::vector<EndedRun> ends;
            for (const auto &start : startAll()) {
                ends.push_back(end(++m_ended, start, RunOutcome::Done));
            }
            report("t-1", {}, ends);
        }
    }

    std::uint64_t m_ended = 0;
};

// Guards against a job with many occurrences whose record outgrows the store: each step of a past
// occurrence added some bytes, and the store refused the record after some thousands of them.
TEST_F(RejectedRecords, listDoneOccurrencesOfAJobWithManyAsRanges)
{
    join("t-1");
    core.jobArrived(timedJob(3000), {}, 1, 1, true, now, wall());
    endTasks(2500);
    const auto flushed = core.takeFlush();
    ASSERT_EQ(flushed.writes.size(), 1U);
    const auto &progress = flushed.writes.front().progress;
    EXPECT_LE(progress.steps.size(), 1000U);
    ASSERT_FALSE(progress.doneOccurrences.empty());

    // The next owner starts none of them again.
    tests::OwnerFixture next(2);
    next.now = now;
    next.join("t-1");
    auto submission = timedJob(3000);
    submission.spec.firstDue = wall() - 2505 * 10ms;
    next.core.jobArrived(submission, progress, 1, 1, false, next.now, next.wall());
    for (const auto &start : next.startAll()) {
        EXPECT_GE(start.task.occurrence, 2499U);
    }
}

TEST_F(RejectedRecords, endAJobWhoseOccurrencesAreAllStoredAsDone)
{
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.doneOccurrences = {{0, 1999}};
    core.jobArrived(timedJob(2000), progress, 1, 1, false, now, wall());
    for (int step = 0; step < 3; ++step) {
        advance(10s);
        plan();
    }
    const auto flushed = core.takeFlush();
    ASSERT_EQ(flushed.writes.size(), 1U);
    EXPECT_EQ(flushed.writes.front().progress.phase, JobPhase::Completed);
}

// Guards against one record that the store does not take holding up all others.
TEST_F(RejectedRecords, areWrittenAgainLaterAndTheirEndsAreNotForgotten)
{
    join("t-1");
    submit(1, {tests::makeStep(2)});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 2U);
    report("t-1", {running(starts[1])}, {end(1, starts[0], RunOutcome::Done)});
    advance(1s);
    auto flushed = core.takeFlush();
    ASSERT_EQ(flushed.writes.size(), 1U);
    EXPECT_TRUE(flushed.endsCovered.contains("t-1"));
    core.jobRejected(1, flushed, now);
    core.flushDone(flushed, now);
    EXPECT_EQ(core.keepAliveOrder("t-1", now)->endsRecorded, 0U);
    plan();
    EXPECT_TRUE(core.takeFlush().writes.empty());
    advance(3s);
    plan();
    EXPECT_EQ(core.takeFlush().writes.size(), 1U);
}

} // namespace
} // namespace cyclamenlatch::scheduling
