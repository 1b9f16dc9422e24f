// The decisions of the one entry that owns the fleet's work: which task starts where and when,
// what is stopped, what is stored. Pure: events and times come in, orders and records go out.
//
// A task has at most one order at a time. An order's room, its workspace's share and its task stay
// taken until its end is listed by the target, a stop for it was answered and the target then lists
// it no more, or the target's lease has run out on a clock that is 2% slow.
#pragma once

#include "global/time.h"
#include "scheduling/fleetrules.h"
#include "scheduling/hostinfo.h"
#include "scheduling/jobrecord.h"
#include "scheduling/keepalivereport.h"
#include "scheduling/orders.h"
#include "scheduling/ownersettings.h"
#include "scheduling/targetinfo.h"

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
struct JobState;
struct OccurrenceState;
struct RunState;
struct StepState;
struct TargetState;
struct TaskState;
} // namespace detail

// One job's progress, to be stored under the condition that its revision is still the expected one.
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

// Everything to be stored at one time, and which ends of targets that covers.
struct Flush
{
    std::vector<ProgressWrite> writes;
    std::map<std::string, std::uint64_t> endsCovered;
    // Lives of the targets in endsCovered.
    std::map<std::string, std::int64_t> incarnations;
};

// A decision worth a log line.
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
    };
    Kind kind = Kind::Started;
    TaskRef task;
    std::uint32_t attempt = 0;
    std::string target;
    std::string detail;
    // Of a start: how long its task waited for it.
    std::optional<Duration> waited;
};

// What would end if a target's host were taken away.
struct TargetLoad
{
    std::size_t runs = 0;
    // Lasting tasks, and those among them whose step can't spare them now.
    std::size_t longRunning = 0;
    std::size_t nonEvictable = 0;
    // Share of the processors in use.
    double usedShare = 0;
    // It has listed ends that are not stored yet: only it can list them to a later owner.
    bool hasUnrecordedEnds = false;
};

// What a service's pool has to do and to do it with.
struct PoolDemand
{
    // Core-seconds of short tasks whose turn has come and that have not begun.
    double openWork = 0;
    // Cores of targets that take work, and of what lasts there.
    double processors = 0;
    double longRunning = 0;
    // Cores in use by anything.
    double used = 0;
    std::size_t targets = 0;
    // Targets over which its lasting steps have to spread, whatever room each has.
    std::size_t spread = 0;
    // Cores of lasting tasks that wait for a place.
    double longRunningWaiting = 0;
    // Cores that short jobs keep busy when they come as they did in the last seconds.
    double arriving = 0;
};

// What planning has looked at since the core began.
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

    // A target that the platform lists, new or changed.
    void targetListed(const TargetInfo &info, TimePoint now);
    void targetUnlisted(const std::string &id, TimePoint now);
    // A target that an earlier owner gave orders to and that is not listed now.
    void targetRestored(const std::string &id, TimePoint now);
    // Its id is stored among those that were given orders.
    void targetRecorded(const std::string &id);
    // Ids that should be stored: all that may run anything.
    std::vector<std::string> targetsToRecord() const;
    bool hasUnrecordedTargets() const;
    std::vector<std::string> targetsToKeepAlive() const;
    const TargetInfo *target(const std::string &id) const;

    // isNew: handed in after this owner took over.
    // revision is that of the stored progress, submittedAt that of the submission.
    void jobArrived(JobSubmission submission, JobProgress progress, std::uint64_t revision,
                    std::uint64_t submittedAt, bool isNew, TimePoint now, WallTime wallNow);
    void jobCancelled(JobNumber id, TimePoint now);
    bool hasJob(JobNumber id) const { return m_jobs.contains(id); }
    // Whether a list of jobs made at this revision of the store had to show the job.
    bool arrivedBefore(JobNumber id, std::uint64_t revision) const;
    std::vector<JobNumber> jobs() const;

    // Nothing when the target is not to be asked.
    std::optional<KeepAliveOrder> keepAliveOrder(const std::string &id, TimePoint now);
    void keepAliveAnswered(const std::string &id, const KeepAliveReport &report, TimePoint sentAt,
                           TimePoint now);
    void keepAliveFailed(const std::string &id, TimePoint now);
    // How long to wait with the next call to a target that has just answered. Ends that are listed
    // again until they are stored make it answer at once: such calls become fewer. loopDelay is how
    // late the caller's loop is; the later, the more ends come with one answer.
    std::chrono::milliseconds keepAliveDelay(const std::string &id, Duration loopDelay) const;
    void startAnswered(const StartOrder &order, OrderResult answer, TimePoint now);
    void stopAnswered(const StopOrder &order, OrderResult answer, TimePoint now);
    void paceAnswered(const PaceOrder &order, OrderResult answer, TimePoint now);
    // Nothing as approved: there was no answer.
    void adviceAnswered(const AdviseOrder &order,
                        const std::optional<std::vector<Advice>> &approved,
                        std::chrono::milliseconds validity, TimePoint now);

    // Decides all that can be decided now.
    std::vector<Order> plan(TimePoint now, WallTime wallNow);
    const PlanningStatistics &work() const { return m_work; }
    // The text and the other parts of a start that its order does not repeat.
    const JobSubmission *submission(JobNumber id) const;

    // Whether something is to be stored, and how soon.
    std::optional<TimePoint> flushDue(TimePoint now) const;
    Flush takeFlush();
    // Nothing as revision: the job was cancelled meanwhile.
    void jobWritten(JobNumber id, std::optional<std::uint64_t> revision, TimePoint now);
    // Every write of the flush took effect.
    void flushDone(const Flush &flush, TimePoint now);

    // A target whose host is wanted elsewhere gets no new work, and its lasting tasks move away.
    void setHostDraining(const std::string &id, bool isHostDraining);
    // Targets there get no new work, and their lasting tasks move away.
    void setEvacuated(std::set<std::string> dataCentres) { m_evacuated = std::move(dataCentres); }
    const std::set<std::string> &evacuated() const { return m_evacuated; }
    // The platform lists the hosts so. Targets that were never heard and do not answer have ended
    // when their host is down for an order or runs a target that was born later.
    void hostsListed(const std::vector<HostInfo> &hosts, TimePoint now);
    // Its host was taken down: all that ran there has ended.
    void targetHostDown(const std::string &id, TimePoint now);
    TargetLoad load(const std::string &id) const;
    // Nothing runs there, and all that ended there is stored. A target that is not known may run
    // anything; no target, which is the empty id, runs nothing.
    bool isIdle(const std::string &id) const;
    // What is known of a target's answers to this owner.
    enum class Contact { NotContacted, Reachable, Unreachable };
    Contact contact(const std::string &id) const;
    // Targets are listed, and each has answered or failed to.
    bool hasContactedAllTargets() const;
    // By service.
    std::map<std::string, PoolDemand> demands(TimePoint now) const;
    // When a job of short tasks last came; nothing before the first.
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
    void eraseTarget(const std::string &id);
    // It is looked at in the next plan, not only when its turn comes.
    void scheduleForPlanning(TargetState &target);
    TargetState *findTarget(const std::string &id) const;
    static Contact contactOf(const TargetState &target);
    const QueueRule *queueRule(const std::string &name) const;
    const WorkspaceRule *workspaceRule(const std::string &name) const;
    std::uint32_t maxAttempts(const JobState &job) const;
    void reportDecision(Decision::Kind kind, const TaskRef &task, std::uint32_t attempt,
                        const std::string &target, std::string detail = {});

    // Occurrences and steps.
    void openDue(JobState &job, TimePoint now, WallTime wallNow);
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
    void stopRunsOf(const JobState &job, TimePoint now);
    // Remembers that a task of the job may run there.
    static std::size_t addJobTarget(JobState &job, const TargetState &target);

    // The pages of a list are not read at one time: one may still show a job that has ended since.
    void recordEndedJob(JobNumber id, TimePoint now);

    // Runs.
    // Takes its room of the target and of its workspace.
    RunState &addRun(TargetState &target, const TaskRef &task, const JobState &job,
                     const StepSpec &spec, RunState run);
    void dropRun(TargetState &target, const TaskRef &task);
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
    bool hasLeaseExpired(const TargetState &target, TimePoint now) const;
    std::chrono::milliseconds leaseFrom(const TargetState &target, TimePoint now) const;

    // Planning.
    void planTargets(TimePoint now);
    // Returns whether nothing of the target is left to follow.
    bool planTarget(TargetState &target, TimePoint now);
    void planStops(TargetState &target, TimePoint now);
    // Starts that were not answered are sent again.
    void planStartRetries(TargetState &target, TimePoint now);
    void planPaces(TargetState &target, TimePoint now);
    void planStalls(TargetState &target, TimePoint now);
    void planEvacuation(TargetState &target, TimePoint now);
    std::uint32_t unavailableTasks(const StepState &step) const;
    // Whether no more tasks of the step may be taken away now.
    bool isDisruptionBudgetExhausted(const StepState &step) const;
    void planStarts(TimePoint now);
    std::vector<OpenStep> openSteps(TimePoint now);
    void addOpenSteps(JobState &job, TimePoint now, std::vector<OpenStep> &open) const;
    void startStep(const OpenStep &open, const std::vector<TargetState *> &pool, TimePoint now);
    void startGang(const OpenStep &open, const std::vector<TargetState *> &pool, TimePoint now);
    TargetState *choose(const OpenStep &open, const TaskState &task, const TaskRef &ref,
                        const std::vector<TargetState *> &pool, TimePoint now) const;
    // Whether the step allows a task there, whatever room is left.
    static bool allows(const OpenStep &open, const TargetState &target, const TaskRef &ref,
                       TimePoint now);
    // Whether a step may be started on the target as far as advice goes.
    static bool isAdvised(const OpenStep &open, const TargetState &target, TimePoint now);
    void askAdvice(const OpenStep &open, const std::vector<TargetState *> &pool, TimePoint now);
    void reserve(const OpenStep &open, const TaskState &task, const TaskRef &ref,
                 const std::vector<TargetState *> &pool, TimePoint now);
    void start(const OpenStep &open, std::uint32_t index, TargetState &target,
               std::uint32_t attempt, TimePoint now);
    void sendStart(TargetState &target, const TaskRef &ref, RunState &run, TimePoint now);
    // The order for a run that has been planned; its lease is the caller's to give.
    StartOrder startOrder(const TargetState &target, const TaskRef &ref, const RunState &run) const;
    void sendAllocatedStarts(TimePoint now);
    bool isUsable(const TargetState &target, TimePoint now) const;
    bool isEvacuated(const TargetState &target) const;
    bool mayUse(const std::string &workspace, const Resources &requiredResources) const;
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
    std::unordered_map<std::string, std::unique_ptr<TargetState>> m_targets;
    // The same targets by id, so that equal places are chosen in the same order everywhere.
    std::vector<TargetState *> m_targetsById;
    // Targets of which something changed since they were looked at; each has its mark.
    std::vector<TargetState *> m_targetsToPlan;
    PlanningStatistics m_work;
    // When all of them were looked at.
    std::optional<TimePoint> m_lastFullScan;
    std::unordered_map<JobNumber, std::unique_ptr<JobState>> m_jobs;
    // Jobs that ended under this owner lately, by when; they do not arrive again.
    std::unordered_set<JobNumber> m_ended;
    std::deque<std::pair<TimePoint, JobNumber>> m_endedAt;
    // What each workspace has running, by orders that are not known to have ended.
    std::unordered_map<std::string, Resources> m_used;
    // Job starts that each workspace is still owed in this second.
    struct StartTokenBucket
    {
        double jobs = 0;
        TimePoint refilled{};
    };
    std::unordered_map<std::string, StartTokenBucket> m_startTokenBuckets;
    // By queue, how long tasks really ran and were guessed to run, older runs counting less.
    struct RunTimes
    {
        double real = 0;
        double guessed = 0;
    };
    std::unordered_map<std::string, RunTimes> m_runTimes;
    double runTimeRatio(const std::string &queue) const;
    void countArrival(const JobState &job, TimePoint now);
    std::optional<TimePoint> m_lastShortJob;
    // By queue, core-seconds of short tasks that came, older ones counting less.
    struct Arrivals
    {
        std::string service;
        double work = 0;
        // Over which the work is spread: about as long as a job runs.
        double seconds = 1;
        TimePoint updated{};

        double workAt(TimePoint now) const;
    };
    std::unordered_map<std::string, Arrivals> m_arrivals;
    std::vector<Order> m_orders;
    // Calls for advice that have not been answered.
    std::uint32_t m_adviceCalls = 0;
    // For the length of one plan: what may run beside the runs that are known. Of jobs whose
    // targets were not all heard, by workspace; and of runs whose jobs are not known, by anybody.
    std::unordered_map<std::string, Resources> m_uncertainUse;
    Resources m_orphanedUse;
    // Targets that were not heard and may run something.
    bool m_hasUncontactedTargets = false;
    // Jobs that may have open steps with waiting tasks; every job that has some is among them.
    std::unordered_set<JobNumber> m_openJobs;
    // Jobs with occurrences that time opens.
    std::unordered_set<JobNumber> m_timedJobs;
    // Jobs whose stored progress is behind, and since when.
    std::vector<JobNumber> m_dirty;
    TimePoint m_dirtySince{};
    std::optional<TimePoint> m_urgentSince;
    // Jobs for which more targets have just been stored.
    std::vector<JobNumber> m_begun;
    // Ends that no stored record has to follow, such as those of lapsed runs, and since when.
    std::optional<TimePoint> m_uncoveredSince;
};

} // namespace cyclamenlatch::scheduling
