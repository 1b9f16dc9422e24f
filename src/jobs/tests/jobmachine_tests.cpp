// One job's transitions: each end of its task, and what the platform is told.
#include "jobs/jobmachine.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::jobs {
namespace {

using store::TaskCommand;
using store::TaskState;
using store::TaskStatus;

const WallTime start{std::chrono::hours(1)};

JobRecord runningJob()
{
    JobRecord record;
    record.id = JobId("j");
    record.workspace = WorkspaceId("drivers");
    record.createdAt = start;
    auto placedRecord = placed(record, WorkerId("w-1"), "e-1", start);
    return entered(placedRecord, JobState::Running, "", start);
}

struct Machine
{
    JobPolicy policy;
    WorkerBlame blame;
    Random random{1};

    std::optional<JobRecord> follow(const JobRecord &record, const TaskStatus *task,
                                    WallTime now = start)
    {
        return followTask(record, {task, &blame, &policy, now}, random);
    }
    std::optional<TaskAction> action(const JobRecord &record, const TaskStatus *task,
                                     WallTime now = start)
    {
        return requiredAction(record, {task, &blame, &policy, now});
    }
};

TaskStatus endedTask(TaskState state)
{
    TaskStatus task;
    task.id = "j.1";
    task.worker = WorkerId("w-1");
    task.state = state;
    task.ended = true;
    return task;
}

TEST(JobMachine, waitsForTheBoundAfterALapse)
{
    Machine machine;
    auto task = endedTask(TaskState::Lapsed);
    task.ended = false;
    EXPECT_FALSE(machine.follow(runningJob(), &task).has_value());
    task.ended = true;
    const auto next = machine.follow(runningJob(), &task);
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(next->state, JobState::Submitted);
    EXPECT_TRUE(next->holder.empty());
}

TEST(JobMachine, resumesFromCheckpoint)
{
    Machine machine;
    auto task = endedTask(TaskState::Checkpointed);
    task.checkpoint = "half";
    const auto next = machine.follow(runningJob(), &task);
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(next->state, JobState::Submitted);
    EXPECT_EQ(next->checkpoint, "half");
    EXPECT_EQ(placed(*next, WorkerId("w-2"), "e-1", start).attempt, 2U);
}

TEST(JobMachine, stopsUnknownTaskOnCancelSoThatItNeverStarts)
{
    Machine machine;
    JobRecord record;
    record.id = JobId("j");
    const auto placing = placed(record, WorkerId("w-1"), "e-1", start);
    ASSERT_TRUE(std::holds_alternative<StartTask>(*machine.action(placing, nullptr)));
    const auto stopping = cancelled(placing, start);
    EXPECT_EQ(stopping.state, JobState::Stopping);
    EXPECT_EQ(std::get<CommandTask>(*machine.action(stopping, nullptr)).command, TaskCommand::Stop);
    const auto stopped = endedTask(TaskState::Stopped);
    EXPECT_EQ(machine.follow(stopping, &stopped)->state, JobState::Cancelled);
    EXPECT_EQ(cancelled(record, start).state, JobState::Cancelled);
}

TEST(JobMachine, buriesJobThatFailsOnManyWorkers)
{
    Machine machine;
    auto record = runningJob();
    const auto failed = endedTask(TaskState::Failed);
    for (const auto *worker : {"w-1", "w-2"}) {
        record.worker = WorkerId(worker);
        const auto next = machine.follow(record, &failed);
        ASSERT_EQ(next->state, JobState::Submitted);
        EXPECT_GE(next->notBefore, start);
        EXPECT_LE(next->notBefore, start + machine.policy.longestRetryDelay);
        record.failures = next->failures;
    }
    record.worker = WorkerId("w-3");
    const auto buried = machine.follow(record, &failed);
    EXPECT_EQ(buried->state, JobState::DeadLettered);
    EXPECT_NE(buried->reason.find("3 different workers"), std::string::npos);
}

TEST(JobMachine, countsFailuresOnOneWorkerToTheBound)
{
    Machine machine;
    auto record = runningJob();
    const auto failed = endedTask(TaskState::Failed);
    for (std::size_t failure = 1; failure < machine.policy.maxFailures; ++failure) {
        record.failures = machine.follow(record, &failed)->failures;
    }
    EXPECT_EQ(machine.follow(record, &failed)->state, JobState::Failed);
}

TEST(JobMachine, blamesWorkerOnWhichManyJobsFail)
{
    JobPolicy policy;
    std::vector<JobRecord> records(4);
    std::vector<const JobRecord *> pointers;
    for (auto &record : records) {
        record.failures = {{WorkerId("bad"), start}};
        pointers.push_back(&record);
    }
    const WorkerBlame blame(pointers, policy, start);
    EXPECT_TRUE(blame.isBlamed(WorkerId("bad")));
    EXPECT_EQ(blame.faultlessWorkers(records[0]), 0U);
    // Its failures are forgotten after the window.
    const WorkerBlame later(pointers, policy, start + policy.blameWindow);
    EXPECT_FALSE(later.isBlamed(WorkerId("bad")));
}

TEST(JobMachine, acquitsWorkerOnWhichMostJobsComplete)
{
    JobPolicy policy;
    std::vector<JobRecord> records(10);
    std::vector<const JobRecord *> pointers;
    for (std::size_t index = 0; index < records.size(); ++index) {
        if (index < 3) {
            records[index].failures = {{WorkerId("good"), start}};
        } else {
            records[index].state = JobState::Completed;
            records[index].worker = WorkerId("good");
            records[index].enteredAt = start;
        }
        pointers.push_back(&records[index]);
    }
    EXPECT_FALSE(WorkerBlame(pointers, policy, start).isBlamed(WorkerId("good")));
}

TEST(JobMachine, stopsTaskThatDoesNotSaveItsProgress)
{
    Machine machine;
    const auto record = entered(runningJob(), JobState::Checkpointing, "", start);
    TaskStatus task;
    task.id = "j.1";
    EXPECT_EQ(std::get<CommandTask>(*machine.action(record, &task)).command,
              TaskCommand::Checkpoint);
    const auto late = start + machine.policy.checkpointBound + std::chrono::milliseconds(1);
    EXPECT_EQ(machine.follow(record, &task, late)->state, JobState::Stopping);
}

TEST(JobMachine, recordSurvivesItsTextForm)
{
    auto record = runningJob();
    record.body = std::string("\0\xff raw", 6);
    record.failures = {{WorkerId("w-9"), start}};
    record.checkpoint = "p";
    const auto read = readJobRecord(writeJobRecord(record));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(*read, record);
    EXPECT_FALSE(readJobRecord("{\"id\": 3}").has_value());
}

} // namespace
} // namespace cyclamenlatch::jobs
