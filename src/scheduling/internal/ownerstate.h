// The owner's picture of jobs, tasks and targets.
#pragma once

#include "global/time.h"
#include "scheduling/fleetrules.h"
#include "scheduling/jobrecord.h"
#include "scheduling/keepalivereport.h"
#include "scheduling/responsetimeestimator.h"
#include "scheduling/targetinfo.h"

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
    // Ended as failed so far, each once.
    std::vector<std::uint32_t> failedAttempts;
    // Starts by this owner.
    std::uint32_t starts = 0;
    // Where it is ordered; null unless it is.
    TargetState *target = nullptr;
    // Of a lasting task: was at work at the last report.
    bool isAtWork = false;
    // Where it failed last; may name a target that is gone.
    std::string failedOn;
    std::string checkpoint;
    TimePoint waitingSince{};
};

struct Ticket
{
    std::string text;
    TimePoint validUntil{};
};

struct StepState
{
    const StepSpec *spec = nullptr;
    // Of queues with advice: by target id; a target that was refused has an empty ticket.
    std::unordered_map<std::string, Ticket> tickets;
    bool isAdviceAsked = false;
    // After a call without advice the next one waits until then.
    TimePoint adviceAfter{};
    std::vector<TaskState> tasks;
    // Add up to the number of tasks.
    std::uint32_t waiting = 0;
    std::uint32_t ordered = 0;
    std::uint32_t done = 0;
    // Of a gang, by runs; see TaskState::failedAttempts.
    std::vector<std::uint32_t> gangFailedAttempts;
    // All steps before it are done.
    bool isOpen = false;
};

struct OccurrenceState
{
    std::uint32_t number = 0;
    std::vector<StepState> steps;
    std::uint32_t stepsDone = 0;
    // The objective for its end.
    TimePoint objective{};
};

struct JobState
{
    JobSubmission submission;
    // Milliseconds from each step's start to the job's end, by the caller's guesses.
    std::vector<double> criticalPaths;
    JobPhase phase = JobPhase::Queued;
    // Those that are due and not done.
    std::map<std::uint32_t, OccurrenceState> occurrences;
    std::uint32_t nextOccurrence = 0;
    std::uint32_t occurrencesDone = 0;
    // Which occurrences are done, as far as nextOccurrence.
    std::vector<bool> occurrenceDone;
    // Progress of occurrences that are done or were loaded and are not yet due.
    JobProgress loaded;
    // Handed in after this owner took over, so that it runs nowhere yet.
    bool isNew = true;
    // More than its workspace is owed when it came.
    bool isExcess = false;
    // Revision of the stored progress, and of the submission.
    std::uint64_t revision = 0;
    std::uint64_t submittedAt = 0;
    // Targets that may run a task of it, and how many of them are stored so. Nothing is started on
    // a target before that, so that a later owner knows which targets it has to hear first.
    std::vector<std::string> targets;
    std::size_t storedTargets = 0;
    // The stored mark of a job that has not begun is still there.
    bool hasWaitingMark = true;
    // Stored progress is behind.
    bool isDirty = false;
    // A caller waits for what is to be stored.
    bool isUrgent = false;
    // Targets that the flush that is under way stores.
    std::size_t targetsInFlush = 0;
    // The flush that is under way removes the mark.
    bool isMarkRemovalInFlush = false;
    TimePoint arrived{};
};

enum class RunPhase : std::uint8_t {
    // Its room is taken; the start is sent once the job is stored as begun.
    Allocated,
    // The start has been sent.
    Starting,
    Running,
    // A stop has been sent; the target has not listed the end.
    Stopping,
    // The start was not answered; stops are sent until one is.
    OutcomeUnknown,
};

struct RunState
{
    RunPhase phase = RunPhase::Allocated;
    std::uint32_t attempt = 0;
    Resources resources;
    std::string workspace;
    // Its job is not known any more, so that its room isn't either.
    bool isOrphaned = false;
    bool usesSpareProcessors = false;
    bool isLatencySensitive = false;
    bool isLongRunning = false;
    std::chrono::milliseconds tailLatencyBound{};
    // Before this time the target's lists need not show it.
    TimePoint confirmedAt{};
    TimePoint orderedAt{};
    // Calls with its start that were sent, that may still be answered, and when the last one was
    // sent. A call that is never answered may be carried out seconds later.
    unsigned startCalls = 0;
    unsigned pendingCalls = 0;
    bool isCallLost = false;
    TimePoint startSentAt{};
    // When a stop was last sent, and whether one was answered.
    std::optional<TimePoint> stopSentAt;
    std::optional<TimePoint> stopAnsweredAt;
    // Wanted pace, the pace last ordered, and when.
    int pace = 100;
    int orderedPace = 100;
    TimePoint paceOrderedAt{};
    // The last list of its target that showed it.
    std::uint64_t lastReportNumber = 0;
    // As last reported.
    int percent = 0;
    std::optional<std::int64_t> metric;
    TimePoint progressAt{};
};

struct TargetState
{
    TargetInfo info;
    // Has an entry in the platform's list.
    bool isListed = false;
    // Its runs are known: it has answered this owner in its present life.
    bool isAdopted = false;
    // Its id is recorded, so that a later owner knows to ask for its runs.
    bool isRecorded = false;
    // Its machine is wanted elsewhere: it gets no new work.
    bool isHostDraining = false;
    // Is among those that the next plan looks at.
    bool isScheduledForPlanning = false;
    // Clock of the target and when it was read.
    std::optional<std::chrono::milliseconds> clock;
    TimePoint clockAt{};
    // Latest lease sent, on the target's clock.
    std::chrono::milliseconds leaseUntil{};
    TimePoint lastOrderAt{};
    // Of its life, as its lists tell; 0: never heard.
    std::int64_t incarnation = 0;
    std::uint64_t endsSeen = 0;
    std::uint64_t endsRecorded = 0;
    // Answers since the last one with a new end that listed ends all the same.
    std::uint32_t redundantAnswers = 0;
    // Numbers its lists.
    std::uint64_t lists = 0;
    std::unordered_map<TaskRef, RunState> runs;
    // Sum over runs.
    Resources used;
    // Runs of jobs that are not known any more; their room is not known either.
    std::uint32_t orphanedRuns = 0;
    TimePoint lastAnswer{};
    // Calls that failed since the last answer.
    std::uint32_t failedCalls = 0;
    ResponseTimeEstimator responseTime;
    // What the list that was last asked for may wait for an end.
    std::chrono::milliseconds requestedWait{};
    // Failed ends in a row, by different jobs.
    std::uint32_t consecutiveFailures = 0;
    JobNumber lastFailedJob = 0;
    TimePoint quarantinedUntil{};
    // Kept free for a lasting task that needs the room.
    std::optional<TaskRef> reservedFor;
    TimePoint reservedUntil{};
};

} // namespace cyclamenlatch::scheduling::detail
