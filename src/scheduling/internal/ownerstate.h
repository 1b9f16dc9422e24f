// The owner's state of jobs, tasks, runs and targets.
#pragma once

#include "global/time.h"
#include "scheduling/fleetrules.h"
#include "scheduling/jobrecord.h"
#include "scheduling/keepalivereport.h"
#include "scheduling/responsetimeestimator.h"
#include "scheduling/runtimehistory.h"
#include "scheduling/targetinfo.h"
#include "scheduling/targetspeed.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::scheduling::detail {

struct TargetState;

enum class TaskPhase : std::uint8_t { Waiting, Ordered, Done };

struct TaskState
{
    TaskPhase phase = TaskPhase::Waiting;
    // Numbers of the failed attempts, without duplicates.
    std::vector<std::uint32_t> failedAttempts;
    // Number of starts by this owner.
    std::uint32_t starts = 0;
    // Target that the task is ordered on; null in other phases.
    TargetState *target = nullptr;
    // Target of a second run of the task beside the one on target, of a step that allows copies.
    TargetState *copyTarget = nullptr;
    // Of a long-running task: it was at work according to the last report.
    bool isAtWork = false;
    // Target of the last failure; it may no longer exist.
    std::string failedOn;
    std::string checkpoint;
    TimePoint waitingSince{};
    // When a run of the task that this owner did not start was last adopted.
    TimePoint adoptedAt{};
};

struct Ticket
{
    std::string text;
    // No start with the ticket is sent later.
    TimePoint usableUntil{};
    // The target's life that the advice is for; see TargetState::life.
    std::uint32_t life = 0;
};

struct StepState
{
    const StepSpec *spec = nullptr;
    // Of queues that need advice, by target id. A refused target has an empty ticket.
    std::unordered_map<std::string, Ticket> tickets;
    bool isAdviceAsked = false;
    // Earliest next call for advice after one that failed.
    TimePoint adviceAfter{};
    std::vector<TaskState> tasks;
    // Tasks in each phase; the three add up to the number of tasks.
    std::uint32_t waiting = 0;
    std::uint32_t ordered = 0;
    std::uint32_t done = 0;
    // Numbers of the failed attempts of a gang as a whole; see TaskState::failedAttempts.
    std::vector<std::uint32_t> gangFailedAttempts;
    // All steps that it depends on are done.
    bool isOpen = false;
};

struct OccurrenceState
{
    std::uint32_t number = 0;
    std::vector<StepState> steps;
    std::uint32_t stepsDone = 0;
    // None of its tasks is started earlier.
    TimePoint startsFrom{};
    // Time by which the occurrence should end, and that after which its result is of no use.
    TimePoint objective{};
    TimePoint usefulUntil{};
};

struct JobState
{
    JobSubmission submission;
    // By step, as expected at expectedAt: the run time of a task, and the milliseconds from the
    // step's start to the job's end.
    std::vector<RunTimeEstimate> runTimes;
    std::vector<double> criticalPaths;
    TimePoint expectedAt{};
    JobPhase phase = JobPhase::Queued;
    // Open occurrences: those that are due and not done, as far as there is room for them, and
    // those that targets have told of.
    std::map<std::uint32_t, OccurrenceState> occurrences;
    // All before nextOccurrence are open or done; all before occurrencesDue are due.
    std::uint32_t nextOccurrence = 0;
    std::uint32_t occurrencesDue = 0;
    std::uint32_t occurrencesDone = 0;
    // Whether each occurrence is known to be done. Stored progress that lists all tasks of one
    // counts once it is opened.
    std::vector<bool> occurrenceDone;
    // Stored progress of occurrences that are done or not open yet.
    JobProgress loaded;
    // Steps of loaded that the last compaction could not turn into ranges.
    std::size_t stepsKeptListed = 0;
    // Submitted after this owner took over, so no earlier owner has started any of its tasks.
    bool isNew = true;
    // The job arrived in excess of its workspace's rate.
    bool isExcess = false;
    // Revision of the stored progress, and of the submission.
    std::uint64_t revision = 0;
    std::uint64_t submittedAt = 0;
    // Ids of targets that may run a task of the job; the first storedTargets of them are stored.
    // A start is sent only to a stored target, so that a later owner knows whose answers it needs
    // before it starts tasks of the job.
    std::vector<std::string> targets;
    std::size_t storedTargets = 0;
    // The store still holds the mark of a job that has not begun.
    bool hasWaitingMark = true;
    // The stored progress is out of date.
    bool isDirty = false;
    // A caller waits for the unsaved progress.
    bool isUrgent = false;
    // Number of targets that the current flush stores.
    std::size_t targetsInFlush = 0;
    // The current flush removes the waiting mark.
    bool isMarkRemovalInFlush = false;
    TimePoint arrived{};
};

enum class RunPhase : std::uint8_t {
    // Resources are allocated; the start is sent once the target is stored for the job.
    Allocated,
    // The start has been sent.
    Starting,
    Running,
    // The run is being stopped; the target has not listed the end.
    Stopping,
    // The start was not answered; stops are sent until one is answered.
    OutcomeUnknown,
};

struct RunState
{
    RunPhase phase = RunPhase::Allocated;
    std::uint32_t attempt = 0;
    Resources resources;
    std::string workspace;
    // The job is not known to this owner, and so neither are the run's resources.
    bool isOrphaned = false;
    bool usesSpareProcessors = false;
    bool isLatencySensitive = false;
    bool isLongRunning = false;
    std::chrono::milliseconds tailLatencyBound{};
    // A list asked for before this time need not show the run.
    TimePoint confirmedAt{};
    TimePoint orderedAt{};
    // Start calls that were sent, those that may still be answered, when one was last lost, and
    // when the last one was sent. A call that is never answered may be carried out seconds later,
    // also by a later incarnation of the target.
    unsigned startCalls = 0;
    unsigned pendingCalls = 0;
    std::optional<TimePoint> callLostAt;
    TimePoint startSentAt{};
    // When a start call was last answered or given up, and when the last list was asked for that
    // showed the run.
    TimePoint answeredAt{};
    TimePoint listedAt{};
    // The target's life in which the run was ordered, or last listed.
    std::uint32_t life = 0;
    // When a stop was last sent, and when one was answered.
    std::optional<TimePoint> stopSentAt;
    std::optional<TimePoint> stopAnsweredAt;
    // Wanted pace, the pace last ordered (both in percent), and when it was ordered.
    int pace = 100;
    int orderedPace = 100;
    TimePoint paceOrderedAt{};
    // This owner has started it, and without a checkpoint: its length is that of the whole task.
    bool isWholeRun = false;
    // Number of the last list of the target that showed the run.
    std::uint64_t lastReportNumber = 0;
    // Progress in percent, and the metric, as last reported; see RunStatus.
    int percent = 0;
    std::optional<std::int64_t> metric;
    TimePoint progressAt{};
};

struct TargetState
{
    TargetInfo info;
    // The platform lists the target.
    bool isListed = false;
    // The target has answered this owner in its present incarnation, so its runs are known.
    bool isAdopted = false;
    // The target's id is stored, so that a later owner asks it for its runs.
    bool isRecorded = false;
    // Orders may have been sent to it before its present life became known: by an earlier owner, or
    // by this one. A target is stored before its first order, so that nobody has called any other.
    bool hasEarlierCalls = false;
    // The host is needed elsewhere: the target gets no new work.
    bool isHostDraining = false;
    // The target is in the list that the next plan examines.
    bool isScheduledForPlanning = false;
    // The target's clock as last reported, and the local time of that reading.
    std::optional<std::chrono::milliseconds> clock;
    TimePoint clockAt{};
    // End of the latest lease that this owner has granted to the incarnation, on the target's
    // clock.
    std::chrono::milliseconds leaseUntil{};
    // The target has answered a call with the present token. From then on it refuses calls for
    // earlier incarnations and of earlier owners; a lease that one of them has granted lasts until
    // foreignLeaseUntil at most, on the target's clock.
    bool isLeaseKnown = false;
    std::chrono::milliseconds foreignLeaseUntil{};
    // When the last call that granted a lease was given up.
    TimePoint leaseCallLostAt{};
    // When the target last answered a call with a token that does not protect it from earlier ones.
    TimePoint unfencedAt{};
    TimePoint lastOrderAt{};
    // Highest token of a call that can change the target.
    std::uint64_t usedToken = 0;
    // Incarnation according to the target's lists; 0: it has not answered yet, or names none.
    std::int64_t incarnation = 0;
    // Number of the incarnation that this owner has met, also of a target that does not name them.
    // Each is used once, so that a target that was forgotten and is listed again has another one.
    std::uint32_t life = 0;
    // Highest number of an end that was listed, and of one that is recorded.
    std::uint64_t endsSeen = 0;
    std::uint64_t endsRecorded = 0;
    // Lowest number of an end in the last list; 0: it had none.
    std::uint64_t firstEndListed = 0;
    // Answers that listed only known ends, since the last one with a new end.
    std::uint32_t redundantAnswers = 0;
    // Number of lists received.
    std::uint64_t lists = 0;
    std::unordered_map<TaskRef, RunState> runs;
    // Sum of the resources of runs.
    Resources used;
    // Number of orphaned runs; their resources are not known and not part of used.
    std::uint32_t orphanedRuns = 0;
    TimePoint lastAnswer{};
    // Number of failed calls since the last answer.
    std::uint32_t failedCalls = 0;
    ResponseTimeEstimator responseTime;
    // How long the target may delay the answer to the last keep-alive to wait for an end.
    std::chrono::milliseconds requestedWait{};
    // Consecutive failures; successive ones of the same job count once.
    std::uint32_t consecutiveFailures = 0;
    JobNumber lastFailedJob = 0;
    TimePoint quarantinedUntil{};
    TargetSpeed speed;
    // See OwnerCore::slowdown; as of slowdownAt.
    double slowdown = 1;
    TimePoint slowdownAt{};
    // Long-running task that the target is kept free for.
    std::optional<TaskRef> reservedFor;
    TimePoint reservedUntil{};
};

// Names the incarnation that the order is for and its fencing token.
template<typename Order>
void address(Order &order, TargetState &target, std::uint64_t token)
{
    order.incarnation = target.incarnation;
    order.token = token;
    target.usedToken = token;
}

} // namespace cyclamenlatch::scheduling::detail
