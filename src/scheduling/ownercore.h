// Decisions of the entry that owns the fleet's work: which task starts where and when, what is
// stopped and what is stored. No input or output: events and times come in, orders and records go
// out.
//
// A task is ordered on at most one target at a time, or on two if its step allows copies. The
// resources of each run count against its target and the workspace until the target lists the end
// of the run, or a stop was answered and the target then no longer lists the run, or the target's
// lease has expired even on a clock that is 2% slow.
#pragma once

#include "global/time.h"
#include "scheduling/fairshares.h"
#include "scheduling/fleetrules.h"
#include "scheduling/hostinfo.h"
#include "scheduling/jobrecord.h"
#include "scheduling/keepalivereport.h"
#include "scheduling/orders.h"
#include "scheduling/ownersettings.h"
#include "scheduling/runtimehistory.h"
#include "scheduling/targetinfo.h"
#include "scheduling/targetspeed.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling {

namespace detail {
enum class RunPhase : std::uint8_t;
struct JobState;
struct OccurrenceState;
struct RunState;
struct StepState;
struct TargetState;
struct TaskState;
struct Ticket;
} // namespace detail

// One job's progress, to be stored only if the stored revision is still the expected one.
struct ProgressWrite
{
    JobNumber id = 0;
    std::string queue;
    JobProgress progress;
    std::uint64_t expected = 0;
    bool removesWaitingMark = false;
    // The job has ended, so that its submission is no longer needed.
    bool removesSubmission = false;
};

// Everything to be stored at one time, and the ends of runs that are recorded by it.
struct Flush
{
    std::vector<ProgressWrite> writes;
    // By target id: the highest number of an end that is recorded once all writes took effect.
    std::map<std::string, std::uint64_t> endsCovered;
    // Incarnations of the targets in endsCovered.
    std::map<std::string, std::int64_t> incarnations;
};

// A decision to be logged.
struct Decision
{
    enum class Kind {
        Started,
        Ended,
        LeaseExpired,
        RunLost,
        StartRefused,
        JobEnded,
        TargetQuarantined,
        TargetRestarted,
        Preempted,
        Stalled,
        Adopted,
        Evacuated,
        // A task has failed as often as its queue allows, or the queue's limit is not known.
        AttemptsExhausted,
        AttemptLimitUnknown,
        Reserved,
        ReservationReleased,
        // A second run of a task was begun, and one of two was stopped because the other has ended.
        Copied,
        CopyStopped,
    };
    Kind kind = Kind::Started;
    TaskRef task;
    std::uint32_t attempt = 0;
    std::string target;
    std::string detail;
    // Of a start: how long the task had waited.
    std::optional<Duration> waited;
};

// Load of a target, for the decision whether its host may be taken down.
struct TargetLoad
{
    // The target answers this owner, or every lease that it may have has expired. Otherwise it may
    // run more than the other fields tell, and may have ended runs that it has not listed.
    bool isKnown = false;
    std::size_t runs = 0;
    // Long-running tasks, and those among them whose step has exhausted its disruption budget.
    std::size_t longRunning = 0;
    std::size_t nonEvictable = 0;
    // Used processors as a fraction of the capacity.
    double usedShare = 0;
    // The target has listed ends that are not stored yet; a later owner can only learn of them from
    // the target.
    bool hasUnrecordedEnds = false;
};

// Demand on the pool of a service, and its capacity.
struct PoolDemand
{
    // Core-seconds of short tasks that wait in open steps whose objective has not passed.
    double openWork = 0;
    // Cores of the targets that accept work, and those of long-running tasks there.
    double processors = 0;
    double longRunning = 0;
    // Cores in use by all runs there.
    double used = 0;
    std::size_t targets = 0;
    // Number of targets that its long-running steps need because of maxTasksPerTarget.
    std::size_t spread = 0;
    // Cores of long-running tasks that wait for a start.
    double longRunningWaiting = 0;
    // Cores that short jobs keep busy at their recent rate of arrival.
    double arriving = 0;
};

// Counts of what planning has examined since the core was created.
struct PlanningStatistics
{
    std::uint64_t plans = 0;
    std::uint64_t targetsExamined = 0;
    std::uint64_t stepsExamined = 0;
};

class OwnerCore
{
public:
    using Listener = std::function<void(const Decision &)>;

    OwnerCore(OwnerSettings settings, TimePoint now, Listener listener);
    ~OwnerCore();
    OwnerCore(const OwnerCore &) = delete;
    OwnerCore &operator=(const OwnerCore &) = delete;

    void setRules(FleetRules rules, TimePoint now);

    // The platform lists a target that is new or has changed. A target of a service that neither
    // the configuration nor a live job names is not used until one of them does.
    void targetListed(const TargetInfo &info, TimePoint now);
    void targetUnlisted(const std::string &id, TimePoint now);
    // The platform's list is read anew: targets that were set aside are given again if they exist.
    void forgetUnassignedTargets() { m_unassignedTargets.clear(); }
    // Targets that were set aside and came into use since the last call.
    std::vector<std::string> takeAssignedTargets() { return std::exchange(m_assignedTargets, {}); }
    // An earlier owner gave orders to the target, and the platform does not list it now.
    void targetRestored(const std::string &id, TimePoint now);
    // The target's id is stored among those that may have been given orders.
    void targetRecorded(const std::string &id);
    // Ids to be stored: those of all targets that may run anything.
    std::vector<std::string> targetsToRecord() const;
    bool hasUnrecordedTargets() const;
    std::vector<std::string> targetsToKeepAlive() const;
    const TargetInfo *target(const std::string &id) const;
    // How long an answer of the target may take before the call counts as lost; zero for an unknown
    // target.
    std::chrono::milliseconds responseTimeout(const std::string &id) const;
    // Fencing token of the next call to the target. It rises with each incarnation that this owner
    // meets: whatever was sent before, to an earlier incarnation, is refused by the present one
    // from its first call on, however late it arrives and on whatever connection. Calls with a
    // lower token that the target refuses are out of date; the ownership is not.
    std::uint64_t fencingToken(const std::string &id) const;
    // Whether an order that was sent and answered at these times was answered on another clock than
    // the target's, and the same as an event: a lease of unknown length may have been granted, and
    // the target gets no work until its next list.
    bool isOtherClock(const std::string &id, std::chrono::milliseconds clock, TimePoint sentAt,
                      TimePoint now) const;
    void answeredOnOtherClock(const std::string &id, TimePoint now);
    // By id, the incarnations of targets on which no lease can last longer than maxRunLease from
    // the last call of an owner: stored for the next owner, which may not reach the target.
    std::map<std::string, std::int64_t> settledIncarnations(TimePoint now);
    void restoreSettledIncarnations(const std::map<std::string, std::int64_t> &settled);
    // The clock of the target's known incarnation; nothing before its first answer.
    std::optional<std::chrono::milliseconds> clockOf(const std::string &id, TimePoint now) const;

    // A job that has ended or is already known is ignored.
    // isNew: submitted after this owner took over.
    // revision: of the stored progress. submittedAt: store revision of the submission.
    void jobArrived(JobSubmission submission, JobProgress progress, std::uint64_t revision,
                    std::uint64_t submittedAt, bool isNew, TimePoint now, WallTime wallNow);
    void jobCancelled(JobNumber id, TimePoint now);
    bool hasJob(JobNumber id) const { return m_jobs.contains(id); }
    // Whether a list of jobs read at this revision of the store must contain the job.
    bool arrivedBefore(JobNumber id, std::uint64_t revision) const;
    std::vector<JobNumber> jobs() const;

    // Nothing when the target needs no keep-alive.
    std::optional<KeepAliveOrder> keepAliveOrder(const std::string &id, TimePoint now);
    void keepAliveAnswered(const std::string &id, const KeepAliveReport &report, TimePoint sentAt,
                           TimePoint now);
    void keepAliveFailed(const std::string &id, TimePoint now);
    // Delay before the next keep-alive of a target that has just answered. While listed ends are
    // not stored yet the target answers at once, so calls are made less often. loopDelay is the lag
    // of the caller's event loop: the delay grows with it, so that one answer brings more ends.
    std::chrono::milliseconds keepAliveDelay(const std::string &id, Duration loopDelay) const;
    void startAnswered(const StartOrder &order, OrderResult answer, TimePoint now);
    void stopAnswered(const StopOrder &order, OrderResult answer, TimePoint now);
    void paceAnswered(const PaceOrder &order, OrderResult answer, TimePoint now);
    // approved is empty when the advice service did not answer.
    void adviceAnswered(const AdviseOrder &order,
                        const std::optional<std::vector<Advice>> &approved,
                        std::chrono::milliseconds validity, TimePoint now);

    // Makes all decisions that are due and returns the orders to be sent.
    std::vector<Order> plan(TimePoint now, WallTime wallNow);
    const PlanningStatistics &work() const { return m_statistics; }
    // The job's text and the other parts of a start call that are not in StartOrder; null for an
    // unknown job.
    const JobSubmission *submission(JobNumber id) const;

    // When the next flush is due; nothing when there is nothing to store.
    std::optional<TimePoint> flushDue(TimePoint now) const;
    Flush takeFlush();
    // A write took effect. revision is empty when the job was cancelled meanwhile.
    void jobWritten(JobNumber id, std::optional<std::uint64_t> revision, TimePoint now);
    // The store does not take the job's record. It is written again later; until then the ends on
    // the job's targets do not count as recorded.
    void jobRejected(JobNumber id, Flush &flush, TimePoint now);
    // All writes of the flush took effect.
    void flushDone(const Flush &flush, TimePoint now);

    // A target on a draining host gets no new work, and its long-running tasks are moved away.
    void setHostDraining(const std::string &id, bool isHostDraining);
    // Targets in these data centres get no new work; their long-running tasks are moved away.
    void setEvacuated(std::set<std::string> dataCentres) { m_evacuated = std::move(dataCentres); }
    const std::set<std::string> &evacuated() const { return m_evacuated; }
    // The platform's list of hosts. A target that has never answered and can't be reached is taken
    // as ended when its host is moving or in maintenance, or runs a target that started later.
    void hostsListed(const std::vector<HostInfo> &hosts, TimePoint now);
    // The host of the target was taken down, so all its runs have ended.
    void targetHostDown(const std::string &id, TimePoint now);
    TargetLoad load(const std::string &id, TimePoint now) const;
    // Whether nothing runs on the target and all ends there are stored. An unknown target may run
    // anything, so it is not idle; the empty id stands for no target, which is idle.
    bool isIdle(const std::string &id) const;
    // The listed target that names the host as its own, the one that started last if several do;
    // empty: none does.
    std::string targetOn(const std::string &host) const;
    // Whether the target has answered this owner, and answers now.
    enum class Contact { NotContacted, Reachable, Unreachable };
    Contact contact(const std::string &id) const;
    // Targets are listed, and each has answered a call or failed to answer one.
    bool hasContactedAllTargets() const;
    // By service.
    std::map<std::string, PoolDemand> demands(TimePoint now) const;
    const RunTimeHistory &runTimes() const { return m_runTimes; }
    // What an earlier owner has learned; what this one has seen itself goes first.
    void restoreRunTimes(const std::vector<RunTimeHistory::Record> &records)
    {
        m_runTimes.restore(records);
    }
    // When a job of short tasks last arrived; nothing before the first.
    std::optional<TimePoint> lastShortJob() const { return m_lastShortJob; }

private:
    using TargetState = detail::TargetState;
    using JobState = detail::JobState;
    using StepState = detail::StepState;
    using TaskState = detail::TaskState;
    using RunState = detail::RunState;
    using OccurrenceState = detail::OccurrenceState;

    struct OpenStep;

    TargetState &targetState(const std::string &id);
    bool isServiceKnown(const std::string &service) const;
    // Lists the targets that were set aside and whose service is known now.
    void listUnassignedTargets(TimePoint now);
    void eraseTarget(const std::string &id);
    // Has the next plan examine the target, rather than the next full scan.
    void scheduleForPlanning(TargetState &target);
    TargetState *findTarget(const std::string &id) const;
    static Contact contactOf(const TargetState &target);
    // Limits of a queue or workspace: those of the configuration, or the latest known ones if the
    // configuration does not name it; null if none are known.
    const QueueLimits *queueLimits(const std::string &name) const;
    const WorkspaceLimits *workspaceLimits(const std::string &name) const;
    // Keeps the limits that live jobs need and the next configuration does not name.
    void retainFormerLimits(const FleetRules &next);
    void learnLimits(const JobSubmission &submission);
    // Whether the task, or the gang as a whole, may be started once more.
    enum class AttemptsLeft { Yes, No, Unknown };
    AttemptsLeft attemptsLeft(const JobState &job, const StepState &step,
                              const TaskState &task) const;
    // Ends the job if the task has no attempts left; returns whether the task may be started.
    bool checkAttempts(JobState &job, const StepState &step, const TaskRef &ref, TimePoint now);
    void reportDecision(Decision::Kind kind, const TaskRef &task, std::uint32_t attempt,
                        const std::string &target, std::string detail = {});

    // Occurrences and steps.
    // Opens what is due, as far as the job's share of what may wait allows.
    void openDue(JobState &job, TimePoint now, WallTime wallNow);
    // Occurrences of a job with waiting tasks, and the number of these tasks.
    struct WaitingWork
    {
        std::size_t occurrences = 0;
        std::size_t tasks = 0;

        void add(const OccurrenceState &occurrence);
    };
    static WaitingWork waitingWork(const JobState &job);
    bool hasRoomForOccurrence(const WaitingWork &work) const;
    // A target tells of a run of the task. An earlier owner has opened its occurrence; this one may
    // not have yet.
    void openReported(const TaskRef &task, TimePoint now);
    void openOccurrence(JobState &job, std::uint32_t number, TimePoint now, WallTime wallNow);
    void openSteps(JobState &job, OccurrenceState &occurrence, TimePoint now);
    StepState *findStep(const TaskRef &task, JobState **job, OccurrenceState **occurrence) const;
    TaskState *findTask(const TaskRef &task, JobState **job = nullptr,
                        StepState **step = nullptr) const;
    void markDone(JobState &job, OccurrenceState &occurrence, StepState &step, std::uint32_t index,
                  TimePoint now);
    void finishJob(JobState &job, JobPhase phase, TimePoint now);
    void markDirty(JobState &job, bool isUrgent, TimePoint now);
    void requeueTask(JobState &job, StepState &step, TaskState &task, TimePoint now);
    // The task no longer runs on the target: its other run goes on, or it waits for another start.
    void detachRun(JobState &job, StepState &step, TaskState &task, const TargetState &target,
                   TimePoint now);
    void stopRunsOf(const JobState &job, TimePoint now);
    // Adds the target to those that may run a task of the job and returns its position there.
    static std::size_t addJobTarget(JobState &job, const TargetState &target);

    // Remembers the id for a while. The pages of a list are read at different times, so a page may
    // still show a job that has ended since.
    void recordEndedJob(JobNumber id, TimePoint now);

    // Runs.
    // Counts its resources against the target and the workspace.
    RunState &addRun(TargetState &target, const TaskRef &task, const JobState &job,
                     const StepSpec &spec, RunState run);
    void dropRun(TargetState &target, const TaskRef &task);
    void setPhase(RunState &run, detail::RunPhase phase);
    void releaseRun(TargetState &target, const TaskRef &task, TimePoint now);
    void releaseRuns(TargetState &target, Decision::Kind kind, TimePoint now);
    void handleRunEnd(TargetState &target, const EndedRun &end, TimePoint now);
    void handleRunFailure(TargetState &target, JobState &job, StepState &step, const EndedRun &end,
                          TimePoint now);
    void handleRunStatus(TargetState &target, const RunStatus &row, TimePoint sentAt,
                         TimePoint now);
    void adopt(TargetState &target, const RunStatus &row, TimePoint now);
    void releaseLostRuns(TargetState &target, const KeepAliveReport &report, TimePoint sentAt,
                         TimePoint now);
    void recordTargetFailure(TargetState &target, JobNumber job, TimePoint now);
    void stopRun(TargetState &target, const TaskRef &task, RunState &run, TimePoint now);
    // Has later calls to the target carry a higher token than those that were sent to it.
    void fenceEarlierCalls(TargetState &target);
    std::uint32_t tokenRises(const std::string &id) const;
    // Whether the target can still be fenced off. Without a token left it is not called any more.
    bool hasTokenLeft(const std::string &id) const;
    void startNewLife(TargetState &target, TimePoint now);
    // The target is another incarnation than the one that the owner has known.
    void forgetIncarnation(TargetState &target, TimePoint now);
    // The target's entry tells of a restart that the target itself has not told of yet.
    static bool entryNamesLaterIncarnation(const TargetState &target);
    static bool isOtherIncarnation(const TargetState &target, const KeepAliveReport &report);
    // Whether an order for the run may still be carried out for the first time.
    static bool mayStartLater(const RunState &run);
    // Whether the run may be at work on an incarnation that this owner has not reached, where a
    // call for an earlier one grants the longest lease.
    bool mayRunOnLaterIncarnation(const TargetState &target, const RunState &run,
                                  TimePoint now) const;
    bool hasLeaseExpired(const TargetState &target, TimePoint now) const;
    // Whether a lease of this length that was granted at this time has expired on every target's
    // clock.
    bool hasLeaseExpired(TimePoint granted, std::chrono::milliseconds lease, TimePoint now) const;
    // The longest lease that others than this owner may have granted to the target, or this one to
    // its earlier lives.
    std::chrono::milliseconds longestForeignLease(const TargetState &target) const;
    // Added to leases for messages that are on their way, and for the time that a stop takes.
    std::chrono::milliseconds leaseMargin() const;
    // The target's clock if it has been slow since it was read.
    static std::chrono::milliseconds lowestClock(const TargetState &target, TimePoint now);
    std::chrono::milliseconds leaseFrom(const TargetState &target, TimePoint now) const;
    // The target has answered, so that its clock is known.
    static std::chrono::milliseconds clockOf(const TargetState &target, TimePoint now);
    // For log lines: the incarnations that the target and its entry name, and the lease with the
    // clock that it ends on, or that the longest lease is assumed.
    static std::string leaseText(const TargetState &target, TimePoint now);

    // Planning.
    void planTargets(TimePoint now);
    // Returns whether the target can be erased.
    bool planTarget(TargetState &target, TimePoint now);
    void planStops(TargetState &target, TimePoint now);
    // Sends unanswered starts again.
    void planStartRetries(TargetState &target, TimePoint now);
    void planPaces(TargetState &target, TimePoint now);
    void planStalls(TargetState &target, TimePoint now);
    void planEvacuation(TargetState &target, TimePoint now);
    std::uint32_t unavailableTasks(const StepState &step, TimePoint now) const;
    // Whether no more tasks of the step may be made unavailable now.
    bool isDisruptionBudgetExhausted(const StepState &step, TimePoint now) const;
    // Usable targets by service.
    using Pools = std::unordered_map<std::string, std::vector<TargetState *>>;
    void planStarts(TimePoint now);
    std::vector<OpenStep> openSteps(TimePoint now);
    void addOpenSteps(JobState &job, TimePoint now, std::vector<OpenStep> &open);
    // Puts the steps of workspaces that compete for a pool in a fair order.
    void orderFairly(std::vector<OpenStep> &steps, const Pools &pools, TimePoint now);
    // Services with steps of short tasks that found no room.
    static std::set<std::string> crowdedServices(const std::vector<OpenStep> &steps);
    // As of the last plan. Where there was room for all, the order does not matter.
    std::set<std::string> m_crowded;
    // Counts the run as the workspace's use of its pool.
    void chargeShare(JobState &job, std::uint32_t stepIndex, TimePoint now);
    // The part of the service's pool that a task takes, of the resource that it takes most of,
    // times its expected seconds.
    double poolSeconds(JobState &job, std::uint32_t stepIndex, TimePoint now) const;
    double workspaceWeight(const std::string &workspace) const;
    // Copies of tasks that take long or whose target is out of reach.
    void planCopies(const Pools &pools, TimePoint now);
    // Returns whether there was room for all copies that the step needs.
    bool copyTasks(const OpenStep &open, const std::vector<TargetState *> &pool, Resources &budget,
                   TimePoint now);
    // Why a second run of the task would end sooner; empty: it would not.
    static std::string reasonToCopy(const TaskState &task, const TaskRef &ref,
                                    const RunTimeEstimate &usual, TimePoint now);
    static bool isCopyable(const StepSpec &spec);
    bool isEnabled(SchedulingFeature feature) const
    {
        return !m_settings.disabled.contains(feature);
    }
    // Run times.
    static RunKind runKind(const JobState &job, std::uint32_t step);
    // Both are looked up anew every half a second.
    const RunTimeEstimate &expectedRunTime(JobState &job, std::uint32_t step, TimePoint now) const;
    const std::vector<double> &criticalPaths(JobState &job, TimePoint now) const;
    void updateExpectations(JobState &job, TimePoint now) const;
    // How many times as long runs take there as on the pool's other targets.
    double slowdown(TargetState &target, TimePoint now) const;
    void learnRunTime(TargetState &target, const RunState &run, JobState &job, const EndedRun &end,
                      TimePoint now);
    void startStep(const OpenStep &open, const std::vector<TargetState *> &pool, TimePoint now);
    void startGang(const OpenStep &open, const std::vector<TargetState *> &pool, TimePoint now);
    TargetState *choose(const OpenStep &open, const TaskState &task, const TaskRef &ref,
                        const std::vector<TargetState *> &pool, TimePoint now) const;
    // Whether the step's constraints and the target's reservation allow the task there, whatever
    // resources are free.
    static bool allows(const OpenStep &open, const TargetState &target, const TaskRef &ref,
                       TimePoint now);
    static bool meetsConstraints(const StepState &step, const TargetState &target);
    // Whether the queue needs no advice or a valid ticket allows the step on the target.
    static bool isAdvised(const OpenStep &open, const TargetState &target, TimePoint now);
    static const detail::Ticket *findTicket(const StepState &step, const TargetState &target,
                                            TimePoint now);
    static bool isOpenTo(const OpenStep &open, const TargetState &target, TimePoint now);
    static bool hasRoomAfterPreemption(const TargetState &target, const Resources &task);
    static std::vector<TargetState *> targetsToAskAbout(const OpenStep &open,
                                                        const std::vector<TargetState *> &pool,
                                                        TimePoint now);
    void askAdvice(const OpenStep &open, const std::vector<TargetState *> &pool, TimePoint now);
    void reserve(const OpenStep &open, const TaskState &task, const TaskRef &ref,
                 const std::vector<TargetState *> &pool, TimePoint now);
    static TargetState *chooseReservation(const OpenStep &open, const TaskRef &ref,
                                          const std::vector<TargetState *> &pool, TimePoint now);
    void preemptShortTasks(TargetState &target, const Resources &resources, TimePoint now);
    void releaseReservations(TimePoint now);
    // Why the task no longer needs the reservation or may not use it; empty: it keeps it.
    std::string reasonToRelease(const TargetState &target, const TaskRef &ref, TimePoint now) const;
    void start(const OpenStep &open, std::uint32_t index, TargetState &target,
               std::uint32_t attempt, TimePoint now);
    // Orders a run of the task; its start is sent once the target is stored for the job.
    void orderRun(const OpenStep &open, const TaskRef &ref, TargetState &target,
                  std::uint32_t attempt, TimePoint now);
    // Number of the task's next attempt under this owner.
    std::uint32_t nextAttempt(TaskState &task) const;
    void sendStart(TargetState &target, const TaskRef &ref, RunState &run, TimePoint now);
    // The order that starts the run, with the target's current lease.
    StartOrder startOrder(TargetState &target, const TaskRef &ref, const RunState &run) const;
    StopOrder stopOrder(TargetState &target, const TaskRef &ref, const RunState &run) const;
    void sendAllocatedStarts(TimePoint now);
    bool mayStillStart(const TaskRef &ref, const RunState &run) const;
    static bool isDescribed(const TargetState &target);
    bool isUsable(const TargetState &target, TimePoint now) const;
    bool isEvacuated(const TargetState &target) const;
    // What the workspace's cap leaves for so many more tasks that start together: room for all, for
    // all but a part of the last one, or less. 0: for the start of a task that counts already.
    enum class CapRoom { Enough, Partial, None };
    CapRoom capRoom(const std::string &workspace, const Resources &task, std::uint32_t count) const;
    // Whether they may be started now.
    bool mayUse(const std::string &workspace, const Resources &task, std::uint32_t count = 1) const;
    bool isUncertain(const JobState &job, TimePoint now) const;
    void countUncertainUse(TimePoint now);
    static Resources maxResources(const std::vector<TargetState *> &pool);

    const OwnerSettings m_settings;
    const TimePoint m_began;
    const Listener m_listener;
    FleetRules m_rules;
    std::set<std::string> m_evacuated;
    // By name, of m_rules.
    std::unordered_map<std::string, const QueueRule *> m_queues;
    std::unordered_map<std::string, const WorkspaceRule *> m_workspaces;
    // Limits of queues and workspaces of live jobs that m_rules does not name, and the version of
    // the configuration that they are from.
    template<typename Limits>
    struct FormerLimits
    {
        std::uint64_t version = 0;
        Limits limits;
    };
    std::unordered_map<std::string, FormerLimits<QueueLimits>> m_formerQueues;
    std::unordered_map<std::string, FormerLimits<WorkspaceLimits>> m_formerWorkspaces;
    std::unordered_map<std::string, std::unique_ptr<TargetState>> m_targets;
    // The same targets sorted by id, so that choices among equal targets are deterministic.
    std::vector<TargetState *> m_targetsById;
    // Listed targets whose service is not known, by id, and those that came into use since they
    // were last taken.
    std::map<std::string, TargetInfo> m_unassignedTargets;
    std::vector<std::string> m_assignedTargets;
    // By id, how often the fencing token has risen; kept when the target is erased.
    std::unordered_map<std::string, std::uint32_t> m_tokenRises;
    // The last number given to a target's life.
    std::uint32_t m_lives = 0;
    // See settledIncarnations.
    std::map<std::string, std::int64_t> m_settled;
    // The same of targets that were out of reach for so long that they were erased. One that is
    // listed again with that incarnation has not restarted.
    std::map<std::string, std::int64_t> m_settledBefore;
    void rememberSettled(const std::string &id, std::int64_t incarnation);
    // Targets that changed since they were last examined; each has isScheduledForPlanning set.
    std::vector<TargetState *> m_targetsToPlan;
    PlanningStatistics m_statistics;
    // When all targets were last examined.
    std::optional<TimePoint> m_lastFullScan;
    std::unordered_map<JobNumber, std::unique_ptr<JobState>> m_jobs;
    // Jobs that ended recently under this owner, which must not arrive again, and when they ended.
    std::unordered_set<JobNumber> m_ended;
    std::deque<std::pair<TimePoint, JobNumber>> m_endedAt;
    // By workspace: the resources of all runs that are not known to have ended, and the number of
    // those among them that are not known to have begun.
    struct WorkspaceUse
    {
        Resources resources;
        std::uint32_t startsUnderWay = 0;
    };
    std::unordered_map<std::string, WorkspaceUse> m_used;
    // By workspace, the jobs that it may still submit now within its rate.
    struct StartTokenBucket
    {
        double jobs = 0;
        TimePoint refilled{};
    };
    std::unordered_map<std::string, StartTokenBucket> m_startTokenBuckets;
    RunTimeHistory m_runTimes;
    // By queue, seconds of runs as they were, and without what slow targets and ways to data add;
    // older runs have less weight.
    struct RunTimeOverhead
    {
        double whole = 0;
        double own = 0;
    };
    std::unordered_map<std::string, RunTimeOverhead> m_runTimeOverheads;
    // What slow targets and ways to data add to the queue's runs, as a factor of 1 or more.
    double runTimeOverhead(const std::string &queue) const;
    // By queue, when a run was last remembered; bounded by the queues of jobs.
    std::unordered_map<std::string, TimePoint> m_learnedAt;
    // By service; bounded by the services that targets name.
    std::unordered_map<std::string, TargetSpeed> m_poolSpeeds;
    FairShares m_shares;
    // By service, capacity of the targets that the last plan could use.
    std::unordered_map<std::string, Resources> m_poolCapacity;
    // A superset of the jobs with steps that allow copies, and when they were last looked at.
    std::unordered_set<JobNumber> m_copyableJobs;
    TimePoint m_copiesPlannedAt{};
    void countArrival(JobState &job, TimePoint now);
    std::optional<TimePoint> m_lastShortJob;
    // By queue, core-seconds of short tasks that arrived; older ones have less weight.
    struct Arrivals
    {
        std::string service;
        double work = 0;
        // Averaging time of work, about the duration of a job.
        double seconds = 1;
        TimePoint updated{};

        double workAt(TimePoint now) const;
    };
    std::unordered_map<std::string, Arrivals> m_arrivals;
    std::vector<Order> m_orders;
    // Number of unanswered calls for advice.
    std::uint32_t m_adviceCalls = 0;
    // Valid during one plan: upper bounds of the resources in use beside those of known runs. By
    // workspace, for jobs with targets that are not contacted; and for orphaned runs, whose
    // workspace is not known.
    std::unordered_map<std::string, Resources> m_uncertainUse;
    Resources m_orphanedUse;
    // Some target is not contacted and may still run something.
    bool m_hasUncontactedTargets = false;
    // A superset of the jobs that have open steps with waiting tasks.
    std::unordered_set<JobNumber> m_openJobs;
    // Jobs with occurrences that become due at given times, and those with more due than are open.
    std::unordered_set<JobNumber> m_timedJobs;
    std::unordered_set<JobNumber> m_backloggedJobs;
    // The wall clock at its last reading, and when that was.
    WallTime m_wallRead{};
    TimePoint m_wallReadAt{};
    // Jobs whose stored progress is out of date, since when there are any, and since when there is
    // one whose caller waits for it.
    std::vector<JobNumber> m_dirty;
    TimePoint m_dirtySince{};
    std::optional<TimePoint> m_urgentSince;
    // Jobs whose record the store did not take, and when it is written again.
    std::map<JobNumber, TimePoint> m_rejected;
    void retryRejected(TimePoint now);
    static void compactDoneOccurrences(JobState &job);
    // Jobs for which more targets were stored since the last plan.
    std::vector<JobNumber> m_jobsWithNewTargets;
    // Since when there are listed ends that no flush has covered. Some change no job, such as those
    // of runs whose lease expired, and a flush is due for them all the same.
    std::optional<TimePoint> m_uncoveredSince;
};

} // namespace cyclamenlatch::scheduling
