// The platform's tasks as a pure state machine: leases, checkpoint, throttle, stop and usage
// reports that lag. Its ledger counts what ran, also wrongly: it stops nobody from running one
// job twice, so that tests can judge by it. Time is passed in.
#pragma once

#include "global/time.h"
#include "store/taskcommand.h"
#include "store/taskstart.h"
#include "store/taskstatus.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::standins {

struct TaskFaults
{
    std::set<WorkerId> draining;
    // Workers that fail every task at once.
    std::set<WorkerId> failing;
    // Workers out of the platform's reach: commands have no effect there, and their tasks run
    // on until the lease has ended and the bound has passed.
    std::set<WorkerId> cut;
};

// What one job did, by the ids of its tasks ("<run>.<attempt>").
struct JobLedger
{
    unsigned starts = 0;
    unsigned completions = 0;
    unsigned mostAtOnce = 0;
    unsigned runningNow = 0;
};

class TaskModel
{
public:
    // A worker ends a task at the latest this long after its lease has lapsed.
    static constexpr std::chrono::milliseconds stopBound{500};
    static constexpr std::chrono::milliseconds usageLag{1000};
    static constexpr double throttledShare = 0.1;

    void start(const store::TaskStart &start, TimePoint now);
    void command(store::TaskCommand command, const std::vector<std::string> &tasks, TimePoint now);
    // Lets time pass: completions, failures, lapses and usage reports.
    void advance(TimePoint now);
    store::TaskListing changes(store::TaskRevision after) const;

    void setFaults(TaskFaults faults);
    const TaskFaults &faults() const { return m_faults; }
    const std::map<std::string, JobLedger> &ledger() const { return m_ledger; }

private:
    struct Task
    {
        store::TaskStatus status;
        Duration lease{};
        TimePoint leaseEnd;
        TimePoint started;
        TimePoint lapsed;
        TimePoint progressAt;
        // Work done and to be done at full speed.
        Duration progress{};
        Duration work{};
        bool fails = false;
        bool reported = false;
        double usedProcessors = 0;
        double usedMemoryMib = 0;
        bool runs = false;
    };

    void advanceTask(Task &task, TimePoint now);
    void makeProgress(Task &task, TimePoint now);
    void change(Task &task);
    void end(Task &task, store::TaskState state);
    void countStart(const std::string &id);

    store::TaskRevision m_revision = 0;
    // Ended tasks stay as tombstones: an id never runs twice.
    std::map<std::string, Task> m_tasks;
    std::set<std::string> m_forgotten;
    std::map<std::string, JobLedger> m_ledger;
    TaskFaults m_faults;
};

// The run "j-1" has the tasks "j-1.1", "j-1.2" and so on.
std::string jobOfTask(const std::string &task);

} // namespace cyclamenlatch::standins
