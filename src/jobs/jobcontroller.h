// Keeps the fleet's jobs alive: the entry that leads follows records and tasks, plans, and makes
// the plan's writes and calls. Every entry runs one; while the store is down, all of them renew
// the leases of running tasks, since that needs no record and does no harm.
// Lock order: m_mutex is never held over a call to the store, the platform or Leadership.
#pragma once

#include "jobs/jobbook.h"
#include "jobs/leadership.h"
#include "store/taskclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cyclamenlatch::jobs {

struct JobControllerSettings
{
    EntryId entry;
    // Differs for each start of the process.
    std::uint64_t incarnation = 0;
    JobPolicy policy;
    std::chrono::milliseconds taskLease{15000};
    std::chrono::milliseconds leaderLease{3000};
    // How often leases and waiting calls are looked after.
    std::chrono::milliseconds tickInterval{100};
    // A planning pass at least this often, and soon after each change.
    std::chrono::milliseconds planInterval{1000};
    // Between two passes, at least; at most maxPlanGap when passes take long.
    std::chrono::milliseconds minPlanGap{10};
    std::chrono::milliseconds maxPlanGap{200};
    // How long a job that has ended can be shown.
    std::chrono::hours retention{24};
};

class JobController
{
public:
    JobController(asio::io_context &context, store::StoreClient &store, store::TaskClient &tasks,
                  quota::QuotaTable &quota, JobControllerSettings settings);

    void setFleet(const std::shared_ptr<const fleet::FleetDocument> &fleet);
    void start();
    // Lets another entry lead; jobs go on.
    void stop();
    // Workers that are leaving: they get no new job, and those that they have are moved away. Also
    // in the name of maintenance and of moves between pools. Thread-safe, as the next.
    void setLeaving(const std::set<WorkerId> &leaving);
    // Jobs on a worker as far as this entry answers for them: all, when it leads, and none
    // otherwise. At least one while a new leader does not know yet.
    unsigned activeOn(const WorkerId &worker) const;
    // Hears, on the entry that leads, how many jobs wait, once a second. Set before start.
    void setWaitingListener(std::function<void(const WaitingMessage &)> listener)
    {
        m_waitingListener = std::move(listener);
    }
    bool leads() const { return m_leadership.leads(steadyNow()); }

private:
    void tick();
    void noteLeading(bool leads);
    void dropWhenIdle(bool storeDown);
    void followRecords();
    void takeRecords(const store::StoreListing &listing);
    void followTasks();
    void renewTasks(TimePoint now);
    void returnUnits(TimePoint now);
    // Lets a pass run as soon as the gap since the last one allows.
    void requestPlan();
    void plan();
    void repeatUnclearWrites();
    void logWrite(const JobWrite &write) const;
    void sendWrite(const JobWrite &write);
    void actAfterWrite(const JobId &id);
    void resolveConflict(const JobId &id);
    void sendStart(const JobRecord &record);
    void sendCommands(store::TaskCommand command, const std::vector<std::string> &tasks);
    void forgetEnded(const std::vector<std::string> &tasks);
    void removeOld(WallTime now);
    void tellWaiting(TimePoint now);
    bool isStoreDown(TimePoint now) const;

    store::StoreClient &m_store;
    store::TaskClient &m_taskClient;
    const JobControllerSettings m_settings;
    Leadership m_leadership;
    asio::steady_timer m_timer;
    // Used by tick only.
    TimePoint m_nextRegularPlan;
    // Guarded by m_mutex.
    asio::steady_timer m_planTimer;
    std::atomic<bool> m_stopping = false;
    std::function<void(const WaitingMessage &)> m_waitingListener;

    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex.
    JobBook m_book;
    Random m_random;
    std::shared_ptr<const CandidateIndex> m_candidates;
    std::set<WorkerId> m_blamed;
    bool m_leading = false;
    // As of the last pass of this term; nothing before it.
    std::optional<std::unordered_map<WorkerId, unsigned>> m_active;
    TimePoint m_nextWaiting;
    // Counts the times that this entry began to lead; answers of an earlier one are dropped.
    std::uint64_t m_term = 0;
    WallTime m_leadingSince;
    bool m_planRequested = false;
    TimePoint m_nextPlan;
    bool m_recordsKnown = false;
    store::StoreRevision m_recordRevision = 0;
    // Term for which a watch on the records is waiting.
    std::uint64_t m_followedTerm = 0;
    bool m_tasksKnown = false;
    bool m_followingTasks = false;
    store::TaskRevision m_taskRevision = 0;
    TimePoint m_nextRenewal;
    TimePoint m_nextUnitLook;
    TimePoint m_nextRemoval;
};

} // namespace cyclamenlatch::jobs
