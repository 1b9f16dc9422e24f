// Keeps records, tasks, writes under way and units in step.
#include "jobs/jobbook.h"

#include <algorithm>

#include <charconv>
#include <utility>

namespace cyclamenlatch::jobs {

namespace {

constexpr std::chrono::milliseconds unitRetryDelay{100};

struct TaskName
{
    JobId job;
    std::int64_t created = 0;
    std::uint32_t attempt = 0;
};

template<typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::optional<TaskName> parseTask(const std::string &task)
{
    const std::string_view text = task;
    const auto dot = text.rfind('.');
    const auto dash = text.substr(0, dot).rfind('-');
    if (dot == std::string_view::npos || dash == std::string_view::npos) {
        return std::nullopt;
    }
    TaskName name;
    name.job = JobId(task.substr(0, dash));
    if (!parseNumber(text.substr(dash + 1, dot - dash - 1), name.created)
        || !parseNumber(text.substr(dot + 1), name.attempt)) {
        return std::nullopt;
    }
    return name;
}

} // namespace

JobBook::JobBook(std::string self, quota::QuotaTable &quota)
    : m_self(std::move(self))
    , m_quota(quota)
{}

void JobBook::noteRecord(const JobRecord &record, store::StoreRevision revision)
{
    auto &entry = m_jobs[record.id];
    if (revision > entry.revision) {
        entry = {record, revision, taskOf(record)};
    }
    settleUnit(record.id);
}

void JobBook::noteGone(const JobId &id)
{
    m_jobs.erase(id);
    if (!m_pending.contains(id)) {
        releaseUnit(id);
    }
}

void JobBook::noteTasks(const store::TaskListing &listing)
{
    for (const auto &task : listing.tasks) {
        auto &known = m_tasks[task.id];
        if (task.revision >= known.revision) {
            known = task;
        }
    }
    m_draining = {listing.draining.begin(), listing.draining.end()};
}

void JobBook::forgetTasks(const std::vector<std::string> &tasks)
{
    for (const auto &task : tasks) {
        m_tasks.erase(task);
    }
}

void JobBook::clear()
{
    m_jobs.clear();
    m_tasks.clear();
    m_draining.clear();
    m_starting.clear();
}

JobPlanInput JobBook::makePlanInput(const CandidateIndex &candidates, const JobPolicy &policy,
                                    WallTime now)
{
    JobPlanInput input;
    input.candidates = &candidates;
    input.policy = policy;
    input.unavailable = m_draining;
    input.unavailable.insert(m_leaving.begin(), m_leaving.end());
    input.self = m_self;
    input.now = now;
    std::erase_if(m_noUnitUntil, [now](const auto &item) { return item.second <= now; });
    for (const auto &[workspace, until] : m_noUnitUntil) {
        input.withoutUnit.insert(workspace);
    }
    input.jobs.reserve(m_jobs.size());
    for (const auto &[id, entry] : m_jobs) {
        JobView view{&entry.record, entry.revision, nullptr, m_starting.contains(id)};
        // A write under way is planned with as if it had succeeded.
        const auto pending = m_pending.find(id);
        if (pending != m_pending.end()) {
            view.record = &pending->second.write.next;
            view.busy = true;
            view.task = findTask(pending->second.task);
        } else if (isActive(entry.record.state)) {
            view.task = findTask(entry.task);
        }
        input.jobs.push_back(view);
    }
    return input;
}

const store::TaskStatus *JobBook::findTask(const std::string &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? nullptr : &found->second;
}

std::optional<TaskAction> JobBook::actionFor(const JobId &id, const JobPolicy &policy,
                                             WallTime now) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || m_pending.contains(id) || m_starting.contains(id)) {
        return std::nullopt;
    }
    const WorkerBlame noBlame;
    return requiredAction(found->second.record,
                          {findTask(found->second.task), &noBlame, &policy, now});
}

bool JobBook::beginWrite(const JobWrite &write, WallTime now)
{
    const auto &id = write.next.id;
    if (m_pending.contains(id)) {
        return false;
    }
    if (write.needsUnit && !m_units.contains(id)) {
        if (!m_quota.tryAcquire(quota::limitOf(write.next.workspace))) {
            m_noUnitUntil[write.next.workspace] = now + unitRetryDelay;
            return false;
        }
        m_units[id] = write.next.workspace;
    }
    m_pending[id] = {write, taskOf(write.next), false};
    return true;
}

void JobBook::endWrite(const JobId &id, store::StoreRevision revision)
{
    const auto pending = m_pending.find(id);
    if (pending == m_pending.end()) {
        return;
    }
    const auto record = std::move(pending->second.write.next);
    m_pending.erase(pending);
    noteRecord(record, revision);
}

void JobBook::resolveWrite(const JobId &id, const std::optional<JobRecord> &stored,
                           store::StoreRevision revision)
{
    m_pending.erase(id);
    if (stored) {
        noteRecord(*stored, revision);
    } else {
        noteGone(id);
    }
}

void JobBook::markUnclear(const JobId &id)
{
    const auto pending = m_pending.find(id);
    if (pending != m_pending.end()) {
        pending->second.unclear = true;
    }
}

std::vector<JobWrite> JobBook::takeUnclearWrites()
{
    std::vector<JobWrite> writes;
    for (auto &[id, pending] : m_pending) {
        if (std::exchange(pending.unclear, false)) {
            writes.push_back(pending.write);
        }
    }
    return writes;
}

void JobBook::settleUnit(const JobId &id)
{
    const auto found = m_jobs.find(id);
    if (m_pending.contains(id) || found == m_jobs.end()) {
        return;
    }
    const auto &record = found->second.record;
    if (!isActive(record.state) || record.holder != m_self) {
        releaseUnit(id);
    }
}

void JobBook::releaseUnit(const JobId &id)
{
    const auto unit = m_units.find(id);
    if (unit == m_units.end()) {
        return;
    }
    m_quota.release(quota::limitOf(unit->second));
    m_units.erase(unit);
}

JobBook::TaskPlace JobBook::placeOf(const std::string &task) const
{
    const auto name = parseTask(task);
    const auto found = name ? m_jobs.find(name->job) : m_jobs.end();
    if (found == m_jobs.end()) {
        return TaskPlace::Unknown;
    }
    const auto &record = found->second.record;
    if (record.createdAt != WallTime(std::chrono::milliseconds(name->created))) {
        return TaskPlace::Over;
    }
    const bool over = name->attempt < record.attempt
                      || (name->attempt == record.attempt && !isActive(record.state));
    return over ? TaskPlace::Over : TaskPlace::Current;
}

std::vector<std::string> JobBook::renewals() const
{
    std::vector<std::string> tasks;
    for (const auto &[id, task] : m_tasks) {
        if (task.state == store::TaskState::Running && placeOf(id) != TaskPlace::Over) {
            tasks.push_back(id);
        }
    }
    return tasks;
}

std::vector<std::string> JobBook::endedTasks() const
{
    std::vector<std::string> tasks;
    for (const auto &[id, task] : m_tasks) {
        if (task.ended && placeOf(id) == TaskPlace::Over) {
            tasks.push_back(id);
        }
    }
    return tasks;
}

std::vector<std::string> JobBook::strayTasks() const
{
    std::vector<std::string> tasks;
    for (const auto &[id, task] : m_tasks) {
        if (!task.ended && placeOf(id) == TaskPlace::Over) {
            tasks.push_back(id);
        }
    }
    return tasks;
}

std::vector<std::pair<JobId, store::StoreRevision>> JobBook::finalBefore(WallTime time) const
{
    std::vector<std::pair<JobId, store::StoreRevision>> jobs;
    for (const auto &[id, entry] : m_jobs) {
        if (isFinal(entry.record.state) && entry.record.enteredAt < time
            && !m_pending.contains(id)) {
            jobs.emplace_back(id, entry.revision);
        }
    }
    return jobs;
}

const JobRecord *JobBook::find(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second.record;
}

std::unordered_map<WorkerId, unsigned> JobBook::activeByWorker() const
{
    std::unordered_map<WorkerId, unsigned> active;
    for (const auto &[id, entry] : m_jobs) {
        const auto pending = m_pending.find(id);
        if (isActive(entry.record.state)) {
            ++active[entry.record.worker];
        }
        if (pending != m_pending.end() && isActive(pending->second.write.next.state)) {
            ++active[pending->second.write.next.worker];
        }
    }
    return active;
}

std::vector<WaitingCount> JobBook::mostWaiting(std::size_t most) const
{
    std::unordered_map<WorkspaceId, std::uint32_t> waiting;
    for (const auto &[id, entry] : m_jobs) {
        if (entry.record.state == JobState::Submitted) {
            ++waiting[entry.record.workspace];
        }
    }
    std::vector<WaitingCount> counts;
    counts.reserve(waiting.size());
    for (const auto &[workspace, jobs] : waiting) {
        counts.push_back({workspace, jobs});
    }
    std::sort(counts.begin(), counts.end(),
              [](const auto &left, const auto &right) { return left.jobs > right.jobs; });
    counts.resize(std::min(counts.size(), most));
    return counts;
}

} // namespace cyclamenlatch::jobs
