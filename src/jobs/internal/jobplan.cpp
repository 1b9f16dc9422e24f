// One planning pass: follow the tasks, empty draining workers, hold limits, make room for urgent
// jobs and place what waits.
#include "jobs/jobplan.h"

#include "jobs/bestfit.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <queue>

namespace cyclamenlatch::jobs {

namespace {

using WorkerIndex = CandidateIndex::WorkerIndex;

constexpr double throttledShare = 0.1;
constexpr auto notWritten = static_cast<std::size_t>(-1);

// A worker during the pass.
struct WorkerRoom
{
    Room size;
    // Free now, with throttled jobs charged for what they still use: for urgent jobs.
    Room free;
    // Free when throttled jobs are charged whole: for the others, and for resuming.
    Room freeWhole;
    // What jobs that are on their way out will give back.
    Room leaving;
    bool usable = true;
    // Running jobs that an urgent one may displace, by index of JobPlanInput::jobs.
    std::vector<std::size_t> displaceable;
    std::vector<std::size_t> throttled;
};

struct WorkspaceUse
{
    unsigned active = 0;
    // On their way out, so that a unit comes free soon.
    unsigned leaving = 0;
    std::vector<std::size_t> displaceable;
};

Room chargeOf(const JobView &view, const JobPolicy &policy)
{
    auto charge = toRoom(view.record->resources);
    if (view.task != nullptr && view.task->usedProcessors > 0) {
        charge.processors = view.task->usedProcessors * policy.usageHeadroom;
    }
    if (view.task != nullptr && view.task->usedMemoryMib > 0) {
        charge.memoryMib = view.task->usedMemoryMib * policy.usageHeadroom;
    }
    return charge;
}

bool isLeavingState(JobState state)
{
    return state == JobState::Checkpointing || state == JobState::Stopping;
}

class Planner
{
public:
    Planner(const JobPlanInput &input, Random &random)
        : m_input(input)
        , m_random(random)
    {}

    JobPlan run()
    {
        findBlame();
        setUpWorkers();
        followTasks();
        chargeActiveJobs();
        emptyDrainingWorkers();
        coverTakenOver();
        holdLimits();
        placeUrgent();
        resumeThrottled();
        placeByShare();
        return std::move(m_plan);
    }

private:
    const JobRecord &record(std::size_t job) const { return *m_input.jobs[job].record; }

    bool isUrgent(const JobRecord &record) const
    {
        const auto *queue = m_input.candidates->queue(record.queue);
        return queue != nullptr && queue->urgent;
    }

    bool mayWrite() const { return m_plan.writes.size() < m_input.policy.maxWritesPerPass; }

    void write(std::size_t job, JobRecord next, bool needsUnit = false)
    {
        m_writeOf[job] = m_plan.writes.size();
        m_plan.writes.push_back({std::move(next), m_input.jobs[job].revision, needsUnit});
    }

    void findBlame()
    {
        std::vector<const JobRecord *> records;
        records.reserve(m_input.jobs.size());
        for (const auto &view : m_input.jobs) {
            records.push_back(view.record);
        }
        m_blame = WorkerBlame(records, m_input.policy, m_input.now);
        m_plan.blamedWorkers.assign(m_blame.blamed().begin(), m_blame.blamed().end());
        m_writeOf.assign(m_input.jobs.size(), notWritten);
    }

    void setUpWorkers()
    {
        const auto &ids = m_input.candidates->workerIds();
        m_workers.resize(ids.size());
        for (std::size_t index = 0; index < ids.size(); ++index) {
            auto &worker = m_workers[index];
            worker.size = toRoom(m_input.candidates->sizes()[index]);
            worker.free = worker.size;
            worker.freeWhole = worker.size;
            worker.usable =
                    !m_input.unavailable.contains(ids[index]) && !m_blame.isBlamed(ids[index]);
        }
    }

    void followTasks()
    {
        for (std::size_t job = 0; job < m_input.jobs.size(); ++job) {
            const auto &view = m_input.jobs[job];
            if (view.busy || !isActive(view.record->state)) {
                continue;
            }
            const JobMoment moment{view.task, &m_blame, &m_input.policy, m_input.now};
            if (auto next = followTask(*view.record, moment, m_random)) {
                write(job, std::move(*next));
            } else if (const auto action = requiredAction(*view.record, moment)) {
                addAction(*view.record, *action);
            }
        }
    }

    void addAction(const JobRecord &record, const TaskAction &action)
    {
        if (const auto *command = std::get_if<CommandTask>(&action)) {
            m_plan.commands[command->command].push_back(taskOf(record));
        } else {
            m_plan.starts.push_back(&record);
        }
    }

    void chargeActiveJobs()
    {
        for (std::size_t job = 0; job < m_input.jobs.size(); ++job) {
            const auto &view = m_input.jobs[job];
            const auto state = view.record->state;
            if (!isActive(state)) {
                continue;
            }
            auto &use = m_uses[view.record->workspace];
            ++use.active;
            const bool leaving = isLeavingState(state) || (isWritten(job) && !willStay(job));
            use.leaving += leaving ? 1 : 0;
            const bool displaceable = state == JobState::Running && !view.busy && !isWritten(job)
                                      && !isUrgent(*view.record);
            if (displaceable) {
                use.displaceable.push_back(job);
            }
            chargeWorker(job, leaving, displaceable);
        }
    }

    bool isWritten(std::size_t job) const { return m_writeOf[job] != notWritten; }

    // Whether the record's next form, which this pass writes, keeps its worker.
    bool willStay(std::size_t job) const
    {
        const auto state = m_plan.writes[m_writeOf[job]].next.state;
        return isActive(state) && !isLeavingState(state);
    }

    void chargeWorker(std::size_t job, bool leaving, bool displaceable)
    {
        const auto &view = m_input.jobs[job];
        const auto *index = m_input.candidates->worker(view.record->worker);
        if (index == nullptr) {
            return;
        }
        auto &worker = m_workers[*index];
        auto charge = chargeOf(view, m_input.policy);
        worker.freeWhole = worker.freeWhole - charge;
        if (view.record->state == JobState::Throttled && view.task != nullptr
            && view.task->throttled) {
            charge.processors *= throttledShare;
        }
        worker.free = worker.free - charge;
        if (leaving) {
            worker.leaving = worker.leaving + charge;
        }
        if (view.record->state == JobState::Throttled) {
            worker.throttled.push_back(job);
            // Its processors come free as soon as the platform has throttled it.
            if (view.task == nullptr || !view.task->throttled) {
                worker.leaving.processors += charge.processors * (1 - throttledShare);
            }
        }
        if (displaceable) {
            worker.displaceable.push_back(job);
        }
    }

    void sendAway(std::size_t job, std::string reason)
    {
        write(job, entered(record(job), JobState::Checkpointing, std::move(reason), m_input.now));
        ++m_uses[record(job).workspace].leaving;
        if (const auto *index = m_input.candidates->worker(record(job).worker)) {
            auto &worker = m_workers[*index];
            worker.leaving = worker.leaving + chargeOf(m_input.jobs[job], m_input.policy);
        }
    }

    bool canBeSentAway(std::size_t job) const
    {
        const auto &view = m_input.jobs[job];
        return !view.busy && !isWritten(job)
               && (view.record->state == JobState::Running
                   || view.record->state == JobState::Throttled);
    }

    void emptyDrainingWorkers()
    {
        for (std::size_t job = 0; job < m_input.jobs.size(); ++job) {
            if (canBeSentAway(job) && mayWrite()
                && m_input.unavailable.contains(record(job).worker)) {
                sendAway(job, "its worker drains");
            }
        }
    }

    // An attempt that another entry's grant covers is taken over, or ended if that's impossible.
    void coverTakenOver()
    {
        for (std::size_t job = 0; job < m_input.jobs.size(); ++job) {
            const auto &view = m_input.jobs[job];
            if (view.busy || isWritten(job) || !isActive(view.record->state)
                || view.record->holder == m_input.self || !mayWrite()) {
                continue;
            }
            if (!m_input.withoutUnit.contains(view.record->workspace)) {
                auto next = *view.record;
                next.holder = m_input.self;
                write(job, std::move(next), true);
            } else if (canBeSentAway(job)
                       && m_input.leadingSince + m_input.policy.coverBound < m_input.now) {
                sendAway(job, "no unit of its workspace's limit covers it");
            }
        }
    }

    void holdLimits()
    {
        for (auto &[workspace, use] : m_uses) {
            const auto *entry = m_input.candidates->workspace(workspace);
            const unsigned limit = entry == nullptr ? 0 : entry->limit;
            const unsigned staying = use.active - use.leaving;
            if (staying > limit) {
                sendNewestAway(use, staying - limit);
            }
        }
    }

    void sendNewestAway(WorkspaceUse &use, unsigned count)
    {
        std::sort(use.displaceable.begin(), use.displaceable.end(),
                  [this](std::size_t left, std::size_t right) {
                      return record(left).enteredAt > record(right).enteredAt;
                  });
        for (const auto job : use.displaceable) {
            if (count == 0 || !mayWrite()) {
                return;
            }
            if (canBeSentAway(job)) {
                sendAway(job, "its workspace's limit was lowered");
                --count;
            }
        }
    }

    bool isWaiting(std::size_t job) const
    {
        const auto &view = m_input.jobs[job];
        return !view.busy && !isWritten(job) && view.record->state == JobState::Submitted
               && view.record->notBefore <= m_input.now;
    }

    void placeUrgent()
    {
        std::vector<std::size_t> waiting;
        for (std::size_t job = 0; job < m_input.jobs.size(); ++job) {
            if (isWaiting(job) && isUrgent(record(job))) {
                waiting.push_back(job);
            }
        }
        std::sort(waiting.begin(), waiting.end(), [this](std::size_t left, std::size_t right) {
            return record(left).createdAt < record(right).createdAt;
        });
        for (const auto job : waiting) {
            if (!hasUnit(job)) {
                makeUnit(job);
            } else if (!placeOnFree(job, true)) {
                makeRoom(job);
            }
        }
    }

    bool hasUnit(std::size_t job) const
    {
        const auto &workspace = record(job).workspace;
        const auto *entry = m_input.candidates->workspace(workspace);
        const auto use = m_uses.find(workspace);
        const unsigned active = use == m_uses.end() ? 0 : use->second.active;
        return entry != nullptr && active < entry->limit
               && !m_input.withoutUnit.contains(workspace);
    }

    // The workspace is at its limit: one of its own jobs makes way, if none does already.
    void makeUnit(std::size_t job)
    {
        auto &use = m_uses[record(job).workspace];
        if (use.leaving > 0) {
            --use.leaving;
            return;
        }
        const auto victim =
                std::find_if(use.displaceable.begin(), use.displaceable.end(),
                             [this](std::size_t other) { return canBeSentAway(other); });
        if (victim != use.displaceable.end() && mayWrite()) {
            sendAway(*victim, "an urgent job of its workspace needs the unit");
            --use.leaving;
        }
    }

    const CandidateIndex::QueueEntry *queueOf(std::size_t job) const
    {
        return m_input.candidates->queue(record(job).queue);
    }

    bool failedThere(std::size_t job, WorkerIndex index) const
    {
        const auto &failures = record(job).failures;
        const auto &id = m_input.candidates->workerIds()[index];
        return std::any_of(failures.begin(), failures.end(),
                           [&id](const JobFailure &failure) { return failure.worker == id; });
    }

    // Best fit; a worker on which the job failed before comes last.
    std::optional<WorkerIndex> bestWorker(std::size_t job, bool urgent) const
    {
        constexpr double failedBeforePenalty = 100;
        const auto need = toRoom(record(job).resources);
        std::optional<WorkerIndex> best;
        double bestScore = std::numeric_limits<double>::max();
        for (const auto index : queueOf(job)->workers) {
            const auto &worker = m_workers[index];
            const auto &room = urgent ? worker.free : worker.freeWhole;
            if (!worker.usable || !fits(need, room)) {
                continue;
            }
            const auto score = leftover(need, room, worker.size)
                               + (failedThere(job, index) ? failedBeforePenalty : 0);
            if (score < bestScore) {
                best = index;
                bestScore = score;
            }
        }
        return best;
    }

    bool placeOnFree(std::size_t job, bool urgent)
    {
        if (!mayWrite() || queueOf(job) == nullptr) {
            return true;
        }
        const auto index = bestWorker(job, urgent);
        if (!index) {
            return buryIfTooLarge(job);
        }
        const auto need = toRoom(record(job).resources);
        auto &worker = m_workers[*index];
        worker.free = worker.free - need;
        worker.freeWhole = worker.freeWhole - need;
        ++m_uses[record(job).workspace].active;
        write(job,
              placed(record(job), m_input.candidates->workerIds()[*index], m_input.self,
                     m_input.now),
              true);
        return true;
    }

    // Dead-letters a job that fits no worker of its queue, even if that were empty. A queue that
    // has no worker at all may get some.
    bool buryIfTooLarge(std::size_t job)
    {
        const auto need = toRoom(record(job).resources);
        const auto &workers = queueOf(job)->workers;
        const bool fitsSome = std::any_of(workers.begin(), workers.end(), [&](WorkerIndex index) {
            return fits(need, m_workers[index].size);
        });
        if (workers.empty() || fitsSome) {
            return false;
        }
        write(job, entered(record(job), JobState::DeadLettered,
                           fmt::format("needs {} processors, {} MiB and {} accelerators, more "
                                       "than any worker of queue {} has",
                                       need.processors, need.memoryMib, need.accelerators,
                                       record(job).queue.value()),
                           m_input.now));
        return true;
    }

    // Throttles or checkpoints jobs on the worker where the least has to give way.
    void makeRoom(std::size_t job)
    {
        const auto need = toRoom(record(job).resources);
        if (reserveLeaving(job, need)) {
            return;
        }
        std::optional<WorkerIndex> best;
        std::vector<std::size_t> bestVictims;
        for (const auto index : queueOf(job)->workers) {
            if (!m_workers[index].usable) {
                continue;
            }
            auto victims = victimsOn(index, need);
            if (!victims.empty() && (!best || victims.size() < bestVictims.size())) {
                best = index;
                bestVictims = std::move(victims);
            }
        }
        if (best) {
            displace(*best, bestVictims, need);
        }
    }

    // Room that is being freed already is enough: take it, so that no one else is displaced.
    bool reserveLeaving(std::size_t job, const Room &need)
    {
        for (const auto index : queueOf(job)->workers) {
            auto &worker = m_workers[index];
            if (worker.usable && fits(need, worker.free + worker.leaving)) {
                reserve(worker, need);
                return true;
            }
        }
        return false;
    }

    static void reserve(WorkerRoom &worker, const Room &need)
    {
        worker.free = worker.free - need;
        worker.freeWhole = worker.freeWhole - need;
    }

    // The largest jobs first, so that few are displaced. Empty when there is not enough.
    std::vector<std::size_t> victimsOn(WorkerIndex index, const Room &need) const
    {
        const auto &worker = m_workers[index];
        auto order = worker.displaceable;
        std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
            return chargeOf(m_input.jobs[left], m_input.policy).processors
                   > chargeOf(m_input.jobs[right], m_input.policy).processors;
        });
        auto room = worker.free + worker.leaving;
        std::vector<std::size_t> victims;
        for (const auto job : order) {
            if (fits(need, room)) {
                break;
            }
            if (canBeSentAway(job)) {
                room = room + chargeOf(m_input.jobs[job], m_input.policy);
                victims.push_back(job);
            }
        }
        return fits(need, room) ? victims : std::vector<std::size_t>();
    }

    void displace(WorkerIndex index, const std::vector<std::size_t> &victims, const Room &need)
    {
        auto &worker = m_workers[index];
        Room throttling;
        for (const auto job : victims) {
            throttling.processors +=
                    chargeOf(m_input.jobs[job], m_input.policy).processors * (1 - throttledShare);
        }
        const bool throttlingIsEnough = fits(need, worker.free + worker.leaving + throttling);
        for (const auto job : victims) {
            if (!mayWrite()) {
                return;
            }
            if (throttlingIsEnough) {
                write(job, entered(record(job), JobState::Throttled, "makes room for an urgent job",
                                   m_input.now));
            } else {
                sendAway(job, "makes room for an urgent job");
            }
        }
        if (throttlingIsEnough) {
            worker.leaving = worker.leaving + throttling;
        }
        reserve(worker, need);
    }

    void resumeThrottled()
    {
        for (auto &worker : m_workers) {
            for (const auto job : worker.throttled) {
                // The whole charges of throttled jobs are in freeWhole already.
                if (!canBeSentAway(job) || !mayWrite() || !fits(Room(), worker.freeWhole)) {
                    continue;
                }
                write(job, entered(record(job), JobState::Running, "", m_input.now));
            }
        }
    }

    struct Turn
    {
        // Active jobs over weight; the lowest goes first.
        double use = 0;
        WorkspaceId workspace;

        bool operator>(const Turn &other) const
        {
            return use != other.use ? use > other.use : workspace > other.workspace;
        }
    };

    Turn turnOf(const WorkspaceId &workspace)
    {
        const auto *entry = m_input.candidates->workspace(workspace);
        const double weight = entry == nullptr ? 1 : entry->weight;
        return {m_uses[workspace].active / weight, workspace};
    }

    // Gives each start to the workspace that has the least running for its weight.
    void placeByShare()
    {
        std::unordered_map<WorkspaceId, std::vector<std::size_t>> waiting;
        for (std::size_t job = 0; job < m_input.jobs.size(); ++job) {
            if (isWaiting(job) && !isUrgent(record(job))) {
                waiting[record(job).workspace].push_back(job);
            }
        }
        std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
        for (auto &[workspace, jobs] : waiting) {
            // The oldest last, where it is taken from.
            std::sort(jobs.begin(), jobs.end(), [this](std::size_t left, std::size_t right) {
                return record(left).createdAt > record(right).createdAt;
            });
            turns.push(turnOf(workspace));
        }
        while (!turns.empty() && mayWrite()) {
            const auto workspace = turns.top().workspace;
            turns.pop();
            auto &jobs = waiting[workspace];
            if (placeNextOf(jobs)) {
                turns.push(turnOf(workspace));
            }
        }
    }

    // Returns whether the workspace has more turns.
    bool placeNextOf(std::vector<std::size_t> &jobs)
    {
        while (!jobs.empty()) {
            const auto job = jobs.back();
            if (!hasUnit(job)) {
                return false;
            }
            jobs.pop_back();
            if (!isKnownNotToFit(job) && placeOnFree(job, false)) {
                return true;
            }
            noteNotFitting(job);
        }
        return false;
    }

    // A larger job than one that found no worker of the same queue in this pass finds none.
    bool isKnownNotToFit(std::size_t job) const
    {
        const auto found = m_notFitting.find(record(job).queue);
        return found != m_notFitting.end()
               && std::any_of(found->second.begin(), found->second.end(),
                              [this, job](const Room &room) {
                                  return fits(room, toRoom(record(job).resources));
                              });
    }

    void noteNotFitting(std::size_t job)
    {
        constexpr std::size_t maxKept = 8;
        auto &kept = m_notFitting[record(job).queue];
        if (kept.size() < maxKept) {
            kept.push_back(toRoom(record(job).resources));
        }
    }

    const JobPlanInput &m_input;
    Random &m_random;
    JobPlan m_plan;
    WorkerBlame m_blame;
    std::vector<WorkerRoom> m_workers;
    std::unordered_map<WorkspaceId, WorkspaceUse> m_uses;
    // By job: the pass's write of it, after which nothing else is decided for it.
    std::vector<std::size_t> m_writeOf;
    std::unordered_map<QueueId, std::vector<Room>> m_notFitting;
};

} // namespace

JobPlan planJobs(const JobPlanInput &input, Random &random)
{
    return Planner(input, random).run();
}

} // namespace cyclamenlatch::jobs
