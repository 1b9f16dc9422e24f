// The job desk against the stand-in platform: cancelling many jobs, and the bound on waiting ones.
#include "jobs/jobdesk.h"
#include "tests/platform/inprocessplatform.h"

namespace cyclamenlatch::tests {
namespace {

using jobs::JobRecord;

class JobDesk : public ::testing::Test
{
protected:
    Result<JobRecord> submit(const std::string &workspace, const std::string &queue,
                             unsigned mostWaiting, const std::string &key = "")
    {
        jobs::JobSubmission submission;
        submission.workspace = WorkspaceId(workspace);
        submission.queue = QueueId(queue);
        submission.mostWaiting = mostWaiting;
        submission.idempotencyKey = key;
        return InProcessPlatform::await<JobRecord>(
                [&](auto completion) { m_desk.submit(submission, completion); });
    }

    bool isCancelled(const JobRecord &job)
    {
        const auto item = m_platform.get(jobs::jobKey(job.id)).value();
        const auto record = jobs::readJobRecord(item->value);
        return record->cancelRequested || record->state == jobs::JobState::Cancelled;
    }

    unsigned cancelAll(const std::string &queue)
    {
        const auto count = InProcessPlatform::await<jobs::BulkCancelCount>([&](auto completion) {
            m_desk.cancelAll({WorkspaceId("drivers"), QueueId(queue)}, completion);
        });
        EXPECT_EQ(count.value().failed, 0U);
        return count.value().cancelled;
    }

    InProcessPlatform m_platform;
    jobs::JobDesk m_desk{m_platform.client()};
};

TEST_F(JobDesk, cancelsTheJobsOfOneQueueOrWorkspaceAndNoOthers)
{
    constexpr unsigned many = 20;
    std::vector<JobRecord> mine;
    for (unsigned index = 0; index < many; ++index) {
        mine.push_back(submit("drivers", index % 2 == 0 ? "even" : "odd", 100).value());
    }
    const auto others = submit("agents", "even", 100).value();
    EXPECT_EQ(cancelAll("odd"), many / 2);
    EXPECT_TRUE(isCancelled(mine[1]));
    EXPECT_FALSE(isCancelled(mine[0]));
    EXPECT_EQ(cancelAll(""), many / 2);
    for (const auto &job : mine) {
        EXPECT_TRUE(isCancelled(job));
    }
    EXPECT_EQ(cancelAll(""), 0U);
    EXPECT_FALSE(isCancelled(others));
}

TEST_F(JobDesk, refusesWhatIsOverTheBoundOfWaitingJobs)
{
    const auto first = submit("drivers", "q", 2, "key-1").value();
    EXPECT_TRUE(submit("drivers", "q", 2).has_value());
    const auto refused = submit("drivers", "q", 2, "key-2");
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().kind, ErrorKind::Overloaded);
    EXPECT_FALSE(m_platform
                         .get(jobs::jobKey(jobs::idOf(
                                 {WorkspaceId("drivers"), QueueId("q"), {}, "", "key-2"})))
                         .value()
                         .has_value())
            << "refused, but recorded";
    // The first one was recorded, so that saying no to its repetition would be wrong.
    EXPECT_EQ(submit("drivers", "q", 2, "key-1").value().id, first.id);
    EXPECT_TRUE(submit("agents", "q", 2).has_value());
    // The leader tells that one has started since.
    m_desk.takeWaiting({{{WorkspaceId("drivers"), 1}}});
    EXPECT_TRUE(submit("drivers", "q", 2).has_value());
    EXPECT_FALSE(submit("drivers", "q", 2).has_value());
}

} // namespace
} // namespace cyclamenlatch::tests
