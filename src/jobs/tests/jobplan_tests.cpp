// One planning pass: urgent first, limits, drains, shares, and jobs that can never run.
#include "jobs/jobplan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace cyclamenlatch::jobs {
namespace {

using store::TaskStatus;

const WallTime start{std::chrono::hours(1)};

// Two workers of 16 cores, one of them with accelerators; an urgent and a usual queue.
class JobPlanTest : public ::testing::Test
{
protected:
    JobPlanTest()
    {
        m_fleet.pools = {{PoolId("p"), false}};
        m_fleet.services.push_back({ServiceId("s"), PoolId("p")});
        for (const auto *name : {"usual", "urgent"}) {
            fleet::Queue queue;
            queue.id = QueueId(name);
            queue.service = ServiceId("s");
            queue.urgent = std::string(name) == "urgent";
            m_fleet.queues.push_back(queue);
        }
        for (const auto *name : {"w-1", "w-2"}) {
            fleet::Worker worker;
            worker.id = WorkerId(name);
            worker.pool = PoolId("p");
            worker.resources = {16, 65536, std::string(name) == "w-2" ? 2U : 0U};
            m_fleet.workers.push_back(worker);
        }
        m_fleet.workspaces = {{WorkspaceId("large"), 3, 100}, {WorkspaceId("small"), 1, 100}};
    }

    JobRecord &addJob(const std::string &id, const std::string &queue, double processors,
                      const std::string &workspace = "large")
    {
        JobRecord record;
        record.id = JobId(id);
        record.queue = QueueId(queue);
        record.workspace = WorkspaceId(workspace);
        record.resources = {processors, 1024, 0};
        record.createdAt = start + std::chrono::milliseconds(m_records.size());
        m_records.push_back(record);
        return m_records.back();
    }

    JobRecord &addRunning(const std::string &id, const std::string &queue, double processors,
                          const std::string &worker)
    {
        auto &record = addJob(id, queue, processors);
        record = placed(record, WorkerId(worker), "me", start);
        record = entered(record, JobState::Running, "", start);
        TaskStatus task;
        task.id = taskOf(record);
        task.worker = record.worker;
        m_tasks.push_back(task);
        return record;
    }

    JobPlan plan()
    {
        m_index = CandidateIndex(m_fleet);
        JobPlanInput input;
        input.candidates = &m_index;
        input.self = "me";
        input.now = start;
        input.unavailable = m_unavailable;
        for (const auto &record : m_records) {
            JobView view{&record, 1, nullptr, false};
            for (const auto &task : m_tasks) {
                view.task = task.id == taskOf(record) ? &task : view.task;
            }
            input.jobs.push_back(view);
        }
        Random random(1);
        return planJobs(input, random);
    }

    static const JobRecord *writeOf(const JobPlan &plan, const std::string &id)
    {
        for (const auto &write : plan.writes) {
            if (write.next.id == JobId(id)) {
                return &write.next;
            }
        }
        return nullptr;
    }

    fleet::FleetDocument m_fleet;
    CandidateIndex m_index;
    // Deques, because jobs and tasks are referred to while more are added.
    std::deque<JobRecord> m_records;
    std::deque<TaskStatus> m_tasks;
    std::unordered_set<WorkerId> m_unavailable;
};

TEST_F(JobPlanTest, placesWhereLeastIsLeftOver)
{
    addRunning("old", "usual", 8, "w-1");
    addJob("new", "usual", 8);
    const auto decided = plan();
    ASSERT_NE(writeOf(decided, "new"), nullptr);
    EXPECT_EQ(writeOf(decided, "new")->worker, WorkerId("w-1"));
    EXPECT_EQ(writeOf(decided, "new")->attempt, 1U);
    EXPECT_EQ(writeOf(decided, "new")->holder, "me");
}

TEST_F(JobPlanTest, startsUrgentJobBeforeOlderOnes)
{
    addRunning("r-1", "usual", 16, "w-1");
    addRunning("r-2", "usual", 10, "w-2");
    addJob("waits", "usual", 6);
    addJob("hurries", "urgent", 6);
    const auto decided = plan();
    ASSERT_NE(writeOf(decided, "hurries"), nullptr);
    EXPECT_EQ(writeOf(decided, "hurries")->state, JobState::Placing);
    EXPECT_EQ(writeOf(decided, "waits"), nullptr);
}

TEST_F(JobPlanTest, throttlesForUrgentWorkOnFullFleet)
{
    addRunning("r-1", "usual", 16, "w-1");
    addRunning("r-2", "usual", 16, "w-2");
    addJob("hurries", "urgent", 4);
    auto decided = plan();
    ASSERT_EQ(decided.writes.size(), 1U);
    EXPECT_EQ(decided.writes[0].next.state, JobState::Throttled);
    // In force: the urgent job takes the room, and nothing else does.
    auto &victim = decided.writes[0].next.id == JobId("r-1") ? m_records[0] : m_records[1];
    auto &task = decided.writes[0].next.id == JobId("r-1") ? m_tasks[0] : m_tasks[1];
    victim = decided.writes[0].next;
    task.throttled = true;
    addJob("waits", "usual", 4);
    decided = plan();
    ASSERT_NE(writeOf(decided, "hurries"), nullptr);
    EXPECT_EQ(writeOf(decided, "hurries")->worker, victim.worker);
    EXPECT_EQ(writeOf(decided, "waits"), nullptr);
}

TEST_F(JobPlanTest, resumesThrottledJobWhenRoomIsBack)
{
    auto &record = addRunning("r-1", "usual", 16, "w-1");
    record = entered(record, JobState::Throttled, "", start);
    m_tasks[0].throttled = true;
    const auto decided = plan();
    ASSERT_NE(writeOf(decided, "r-1"), nullptr);
    EXPECT_EQ(writeOf(decided, "r-1")->state, JobState::Running);
}

TEST_F(JobPlanTest, checkpointsNewestWhenLimitIsLowered)
{
    addRunning("r-1", "usual", 1, "w-1");
    auto &newest = addRunning("r-2", "usual", 1, "w-1");
    newest.enteredAt = start + std::chrono::milliseconds(5);
    m_fleet.workspaces[0].limit = 1;
    const auto decided = plan();
    ASSERT_EQ(decided.writes.size(), 1U);
    EXPECT_EQ(decided.writes[0].next.id, JobId("r-2"));
    EXPECT_EQ(decided.writes[0].next.state, JobState::Checkpointing);
}

TEST_F(JobPlanTest, startsNothingAboveTheLimit)
{
    m_fleet.workspaces[0].limit = 2;
    for (int index = 0; index < 5; ++index) {
        addJob("j-" + std::to_string(index), "usual", 1);
    }
    EXPECT_EQ(plan().writes.size(), 2U);
}

TEST_F(JobPlanTest, checkpointsJobsOfDrainingWorker)
{
    addRunning("r-1", "usual", 1, "w-1");
    m_unavailable.insert(WorkerId("w-1"));
    const auto decided = plan();
    ASSERT_NE(writeOf(decided, "r-1"), nullptr);
    EXPECT_EQ(writeOf(decided, "r-1")->state, JobState::Checkpointing);
}

TEST_F(JobPlanTest, buriesJobLargerThanAnyWorker)
{
    addJob("huge", "usual", 64);
    const auto decided = plan();
    ASSERT_NE(writeOf(decided, "huge"), nullptr);
    EXPECT_EQ(writeOf(decided, "huge")->state, JobState::DeadLettered);
    EXPECT_NE(writeOf(decided, "huge")->reason.find("64 processors"), std::string::npos);
}

TEST_F(JobPlanTest, keepsJobOfQueueWithoutWorkers)
{
    m_fleet.workers.clear();
    addJob("early", "usual", 1);
    EXPECT_TRUE(plan().writes.empty());
}

TEST_F(JobPlanTest, sharesStartsByWeight)
{
    for (int index = 0; index < 32; ++index) {
        addJob("l-" + std::to_string(index), "usual", 2, "large");
        addJob("s-" + std::to_string(index), "usual", 2, "small");
    }
    const auto decided = plan();
    const auto large =
            std::count_if(decided.writes.begin(), decided.writes.end(), [](const JobWrite &write) {
                return write.next.workspace == WorkspaceId("large");
            });
    EXPECT_EQ(decided.writes.size(), 16U);
    EXPECT_EQ(large, 12);
}

TEST_F(JobPlanTest, keepsAcceleratorsForThoseWhoNeedThem)
{
    addJob("plain", "usual", 1);
    auto &picky = addJob("picky", "usual", 1);
    picky.resources.accelerators = 2;
    const auto decided = plan();
    EXPECT_EQ(writeOf(decided, "plain")->worker, WorkerId("w-1"));
    EXPECT_EQ(writeOf(decided, "picky")->worker, WorkerId("w-2"));
}

TEST_F(JobPlanTest, avoidsWorkerWhereJobFailedBefore)
{
    addRunning("old", "usual", 8, "w-1");
    auto &job = addJob("again", "usual", 8);
    job.failures = {{WorkerId("w-1"), start}};
    EXPECT_EQ(writeOf(plan(), "again")->worker, WorkerId("w-2"));
}

TEST_F(JobPlanTest, chargesReportedUseInPlaceOfDeclaredSize)
{
    addRunning("liar", "usual", 16, "w-1");
    m_tasks[0].usedProcessors = 4;
    addJob("fits", "usual", 10);
    EXPECT_EQ(writeOf(plan(), "fits")->worker, WorkerId("w-1"));
}

TEST_F(JobPlanTest, takesOverAttemptsThatAnotherEntryCovers)
{
    addRunning("r-1", "usual", 1, "w-1").holder = "gone";
    const auto decided = plan();
    ASSERT_EQ(decided.writes.size(), 1U);
    EXPECT_EQ(decided.writes[0].next.holder, "me");
    EXPECT_TRUE(decided.writes[0].needsUnit);
}

} // namespace
} // namespace cyclamenlatch::jobs
