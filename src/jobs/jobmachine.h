// The pure state machine of one job: what its record becomes when its task changes, and what the
// platform must be told so that the task follows the record.
#pragma once

#include "global/random.h"
#include "jobs/jobpolicy.h"
#include "jobs/jobrecord.h"
#include "jobs/workerblame.h"
#include "store/taskcommand.h"
#include "store/taskstatus.h"

#include <optional>
#include <string>
#include <variant>

namespace cyclamenlatch::jobs {

struct StartTask
{
    bool operator==(const StartTask &) const = default;
};

struct CommandTask
{
    store::TaskCommand command;
    bool operator==(const CommandTask &) const = default;
};

using TaskAction = std::variant<StartTask, CommandTask>;

// task is the platform's word on the record's current attempt, null when it knows none.
struct JobMoment
{
    const store::TaskStatus *task = nullptr;
    const WorkerBlame *blame = nullptr;
    const JobPolicy *policy = nullptr;
    WallTime now;
};

// Returns the record's next form when what is known of its task calls for one.
std::optional<JobRecord> followTask(const JobRecord &record, const JobMoment &moment,
                                    Random &random);

// Returns what the platform must be told. Repeating an action is harmless.
std::optional<TaskAction> requiredAction(const JobRecord &record, const JobMoment &moment);

// Forms of an active or waiting record; each keeps what it doesn't name.
JobRecord placed(const JobRecord &record, const WorkerId &worker, const std::string &holder,
                 WallTime now);
JobRecord entered(const JobRecord &record, JobState state, std::string reason, WallTime now);
// Asks for the job's end: at once when no attempt can run, else through Stopping.
JobRecord cancelled(const JobRecord &record, WallTime now);

} // namespace cyclamenlatch::jobs
