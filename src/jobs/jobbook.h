// What a planning entry knows of all jobs and tasks, which writes it has under way, and which of
// its quota units cover which job. Invariant: while the store may hold an active record whose
// holder is this entry, a unit is in use for it here. Not thread-safe; no I/O.
#pragma once

#include "jobs/jobplan.h"
#include "jobs/waitingmessage.h"
#include "quota/quotatable.h"
#include "store/taskstatus.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cyclamenlatch::jobs {

class JobBook
{
public:
    // self names this process in JobRecord::holder and differs for each start of it.
    JobBook(std::string self, quota::QuotaTable &quota);

    // Older revisions than the known one are ignored.
    void noteRecord(const JobRecord &record, store::StoreRevision revision);
    void noteGone(const JobId &id);
    void noteTasks(const store::TaskListing &listing);
    // The platform has dropped these tasks.
    void forgetTasks(const std::vector<std::string> &tasks);
    // Workers that take no new work, besides those that the platform drains.
    void setLeaving(std::unordered_set<WorkerId> leaving) { m_leaving = std::move(leaving); }
    // Drops what was learned, for when another entry leads; units and writes under way stay.
    void clear();

    // The jobs are pointers into the book: use the input before the book changes.
    JobPlanInput makePlanInput(const CandidateIndex &candidates, const JobPolicy &policy,
                               WallTime now);

    // Takes the unit that the write needs and marks it as under way. Returns false when there is
    // no unit; the write must not be made then.
    bool beginWrite(const JobWrite &write, WallTime now);
    void endWrite(const JobId &id, store::StoreRevision revision);
    // Another value is stored; it may be this very write's if an earlier answer was lost.
    void resolveWrite(const JobId &id, const std::optional<JobRecord> &stored,
                      store::StoreRevision revision);
    // The write may have had its effect or may still have it: repeat it until that is known.
    void markUnclear(const JobId &id);
    // The unclear writes to be repeated now; each counts as under way again.
    std::vector<JobWrite> takeUnclearWrites();

    // What the platform is to be told right after a write, without waiting for the next pass.
    std::optional<TaskAction> actionFor(const JobId &id, const JobPolicy &policy,
                                        WallTime now) const;

    void beginStart(const JobId &id) { m_starting.insert(id); }
    void endStart(const JobId &id) { m_starting.erase(id); }

    // Running tasks whose lease is to be renewed.
    std::vector<std::string> renewals() const;
    // Tasks of attempts that are over: those that have ended, and those that run against the
    // records and must be stopped.
    std::vector<std::string> endedTasks() const;
    std::vector<std::string> strayTasks() const;
    // Final records that entered their state before the given time.
    std::vector<std::pair<JobId, store::StoreRevision>> finalBefore(WallTime time) const;

    // Jobs that have, or are about to have, a task on each worker.
    std::unordered_map<WorkerId, unsigned> activeByWorker() const;
    // The workspaces with the most waiting jobs, at most so many.
    std::vector<WaitingCount> mostWaiting(std::size_t most) const;
    bool holdsUnits() const { return !m_units.empty(); }
    std::size_t size() const { return m_jobs.size(); }
    const JobRecord *find(const JobId &id) const;

private:
    struct Entry
    {
        JobRecord record;
        store::StoreRevision revision = 0;
        // Of the record's attempt; kept, because each pass looks every task up.
        std::string task;
    };
    struct Pending
    {
        JobWrite write;
        std::string task;
        bool unclear = false;
    };
    enum class TaskPlace { Current, Over, Unknown };

    const store::TaskStatus *findTask(const std::string &task) const;
    TaskPlace placeOf(const std::string &task) const;
    void settleUnit(const JobId &id);
    void releaseUnit(const JobId &id);

    std::string m_self;
    quota::QuotaTable &m_quota;
    std::unordered_map<JobId, Entry> m_jobs;
    std::unordered_map<JobId, Pending> m_pending;
    std::unordered_set<JobId> m_starting;
    std::unordered_map<std::string, store::TaskStatus> m_tasks;
    std::unordered_set<WorkerId> m_draining;
    std::unordered_set<WorkerId> m_leaving;
    // Workspace of each job that a unit is in use for.
    std::unordered_map<JobId, WorkspaceId> m_units;
    // When a workspace without a free unit is tried again.
    std::unordered_map<WorkspaceId, WallTime> m_noUnitUntil;
};

} // namespace cyclamenlatch::jobs
