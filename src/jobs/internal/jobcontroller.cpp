// The I/O around the planning pass.
#include "jobs/jobcontroller.h"

#include "jobs/jobsevents.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace cyclamenlatch::jobs {

namespace {

constexpr const char *leaderKey = "leaders/jobs";
constexpr std::chrono::milliseconds recordWait{10000};
constexpr std::chrono::milliseconds taskWait{2000};
constexpr std::chrono::milliseconds unitLookInterval{2000};
constexpr std::chrono::milliseconds removalInterval{60000};
constexpr std::size_t maxRemovals = 50;
constexpr std::chrono::milliseconds waitingInterval{1000};
constexpr std::size_t maxWaitingCounts = 32;
// Without an answer for this long the store counts as down.
constexpr std::chrono::milliseconds storeSilence{5000};
// Renewals per lease: two may fail before it lapses.
constexpr int renewalsPerLease = 3;

} // namespace

JobController::JobController(asio::io_context &context, store::StoreClient &store,
                             store::TaskClient &tasks, quota::QuotaTable &quota,
                             JobControllerSettings settings)
    : m_store(store)
    , m_taskClient(tasks)
    , m_settings(std::move(settings))
    , m_leadership(store, leaderKey, m_settings.entry.value(), m_settings.leaderLease)
    , m_timer(context)
    , m_planTimer(context)
    , m_book(fmt::format("{}/{}", m_settings.entry.value(), m_settings.incarnation), quota)
    , m_random(std::random_device{}())
{}

void JobController::setFleet(const std::shared_ptr<const fleet::FleetDocument> &fleet)
{
    auto candidates = std::make_shared<const CandidateIndex>(*fleet);
    const std::lock_guard lock(m_mutex);
    m_candidates = std::move(candidates);
}

void JobController::setLeaving(const std::set<WorkerId> &leaving)
{
    {
        const std::lock_guard lock(m_mutex);
        m_book.setLeaving({leaving.begin(), leaving.end()});
    }
    requestPlan();
}

unsigned JobController::activeOn(const WorkerId &worker) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_leading) {
        return 0;
    }
    if (!m_active) {
        return 1;
    }
    const auto found = m_active->find(worker);
    return found == m_active->end() ? 0 : found->second;
}

void JobController::start()
{
    tick();
}

void JobController::stop()
{
    m_stopping = true;
    m_leadership.resign();
}

bool JobController::isStoreDown(TimePoint now) const
{
    const auto contact = m_store.lastContact();
    return !contact || *contact + storeSilence < now;
}

void JobController::tick()
{
    if (m_stopping) {
        return;
    }
    const auto now = steadyNow();
    m_leadership.tick(now);
    noteLeading(m_leadership.leads(now));
    dropWhenIdle(isStoreDown(now));
    followRecords();
    followTasks();
    renewTasks(now);
    returnUnits(now);
    if (now >= m_nextRegularPlan) {
        m_nextRegularPlan = now + m_settings.planInterval;
        requestPlan();
    }
    repeatUnclearWrites();
    tellWaiting(now);
    m_timer.expires_after(m_settings.tickInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void JobController::noteLeading(bool leads)
{
    std::uint64_t term = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (leads == m_leading) {
            return;
        }
        m_leading = leads;
        term = ++m_term;
        m_recordsKnown = false;
        m_tasksKnown = false;
        m_taskRevision = 0;
        m_recordRevision = 0;
        m_active.reset();
        m_book.clear();
        m_leadingSince = wallNow();
    }
    if (!leads) {
        logEvent(leadingEnded, "{}", m_settings.entry.value());
        return;
    }
    logEvent(leadingStarted, "{}", m_settings.entry.value());
    m_store.list(std::string(jobKeyPrefix), [this, term](Result<store::StoreListing> listing) {
        {
            const std::lock_guard lock(m_mutex);
            if (term != m_term) {
                return;
            }
            if (!listing) {
                // The next tick begins anew.
                m_leading = false;
                return;
            }
            takeRecords(listing.value());
            m_recordsKnown = true;
        }
        followRecords();
        followTasks();
    });
}

// Without a part in planning nothing is kept up to date, so nothing is kept.
void JobController::dropWhenIdle(bool storeDown)
{
    const std::lock_guard lock(m_mutex);
    if (!m_leading && !storeDown && m_tasksKnown) {
        m_tasksKnown = false;
        m_taskRevision = 0;
        m_book.clear();
    }
}

void JobController::followRecords()
{
    store::StoreRevision after = 0;
    std::uint64_t term = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_leading || !m_recordsKnown || m_followedTerm == m_term || m_stopping) {
            return;
        }
        term = m_followedTerm = m_term;
        after = m_recordRevision;
    }
    m_store.watch(std::string(jobKeyPrefix), after, recordWait,
                  [this, term](Result<store::StoreListing> listing) {
                      {
                          const std::lock_guard lock(m_mutex);
                          if (term != m_term) {
                              return;
                          }
                          m_followedTerm = 0;
                          // The next tick asks again.
                          if (!listing) {
                              return;
                          }
                          takeRecords(listing.value());
                      }
                      requestPlan();
                      followRecords();
                  });
}

void JobController::takeRecords(const store::StoreListing &listing)
{
    m_recordRevision = std::max(m_recordRevision, listing.revision);
    for (const auto &item : listing.items) {
        const JobId id(item.key.substr(jobKeyPrefix.size()));
        if (item.deleted) {
            m_book.noteGone(id);
            continue;
        }
        const auto record = readJobRecord(item.value);
        if (record && record->id == id) {
            m_book.noteRecord(*record, item.revision);
        } else {
            logEvent(jobRecordUnreadable, "{}", item.key);
        }
    }
}

void JobController::followTasks()
{
    store::TaskRevision after = 0;
    const bool storeDown = isStoreDown(steadyNow());
    {
        const std::lock_guard lock(m_mutex);
        const bool wanted = (m_leading && m_recordsKnown) || storeDown;
        if (!wanted || m_followingTasks || m_stopping) {
            return;
        }
        m_followingTasks = true;
        after = m_taskRevision;
    }
    // The first listing is asked for without a wait.
    const auto wait = after == 0 ? std::chrono::milliseconds(0) : taskWait;
    m_taskClient.changes(after, wait, [this, after](Result<store::TaskListing> listing) {
        {
            const std::lock_guard lock(m_mutex);
            m_followingTasks = false;
            if (!listing || after != m_taskRevision) {
                return;
            }
            m_book.noteTasks(listing.value());
            m_taskRevision = std::max(m_taskRevision, listing.value().revision);
            m_tasksKnown = true;
        }
        requestPlan();
        followTasks();
    });
}

void JobController::renewTasks(TimePoint now)
{
    std::vector<std::string> tasks;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_tasksKnown || now < m_nextRenewal) {
            return;
        }
        m_nextRenewal = now + m_settings.taskLease / renewalsPerLease;
        tasks = m_book.renewals();
    }
    sendCommands(store::TaskCommand::Renew, tasks);
}

// Units of jobs that another entry has taken over meanwhile are found by looking at the records.
void JobController::returnUnits(TimePoint now)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_leading || !m_book.holdsUnits() || now < m_nextUnitLook) {
            return;
        }
        m_nextUnitLook = now + unitLookInterval;
    }
    m_store.list(std::string(jobKeyPrefix), [this](Result<store::StoreListing> listing) {
        const std::lock_guard lock(m_mutex);
        if (!listing || m_leading) {
            return;
        }
        takeRecords(listing.value());
        m_book.clear();
    });
}

void JobController::requestPlan()
{
    const std::lock_guard lock(m_mutex);
    if (m_planRequested || m_stopping) {
        return;
    }
    m_planRequested = true;
    m_planTimer.expires_at(m_nextPlan);
    m_planTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            plan();
        }
    });
}

void JobController::repeatUnclearWrites()
{
    std::vector<JobWrite> writes;
    {
        const std::lock_guard lock(m_mutex);
        writes = m_book.takeUnclearWrites();
    }
    for (const auto &write : writes) {
        sendWrite(write);
    }
}

void JobController::plan()
{
    JobPlan decided;
    std::vector<JobWrite> writes;
    std::vector<JobRecord> starts;
    std::vector<std::string> ended;
    const auto wall = wallNow();
    const auto begin = steadyNow();
    const bool leads = m_leadership.leads(begin);
    {
        const std::lock_guard lock(m_mutex);
        m_planRequested = false;
        m_nextPlan = begin + m_settings.minPlanGap;
        if (!leads || !m_leading || !m_recordsKnown || !m_tasksKnown || !m_candidates) {
            return;
        }
        auto input = m_book.makePlanInput(*m_candidates, m_settings.policy, wall);
        input.leadingSince = m_leadingSince;
        decided = planJobs(input, m_random);
        for (const auto *record : decided.starts) {
            starts.push_back(*record);
        }
        for (const auto &record : starts) {
            m_book.beginStart(record.id);
        }
        for (auto &write : decided.writes) {
            if (m_book.beginWrite(write, wall)) {
                writes.push_back(std::move(write));
            }
        }
        // A pass may take a tenth of the time, so that planning leaves the processor to others.
        m_nextPlan = steadyNow()
                     + std::clamp<Duration>((steadyNow() - begin) * 9, m_settings.minPlanGap,
                                            m_settings.maxPlanGap);
        m_active = m_book.activeByWorker();
        ended = m_book.endedTasks();
        auto strays = m_book.strayTasks();
        auto &stops = decided.commands[store::TaskCommand::Stop];
        stops.insert(stops.end(), strays.begin(), strays.end());
        for (const auto &worker : decided.blamedWorkers) {
            if (m_blamed.insert(worker).second) {
                logEvent(workerBlamed, "{}", worker.value());
            }
        }
    }
    for (const auto &write : writes) {
        logWrite(write);
        sendWrite(write);
    }
    for (const auto &record : starts) {
        sendStart(record);
    }
    for (const auto &[command, tasks] : decided.commands) {
        sendCommands(command, tasks);
    }
    forgetEnded(ended);
    removeOld(wall);
}

void JobController::logWrite(const JobWrite &write) const
{
    const auto &event = write.next.state == JobState::DeadLettered ? jobDeadLettered : jobChanged;
    logEvent(event, "{} of {}: {}, attempt {} on {}{}{}", write.next.id.value(),
             write.next.workspace.value(), jobStateNames.name(write.next.state), write.next.attempt,
             write.next.worker.value(), write.next.reason.empty() ? "" : "; ", write.next.reason);
}

void JobController::sendWrite(const JobWrite &write)
{
    const auto &id = write.next.id;
    m_store.compareAndSwap({jobKey(id), writeJobRecord(write.next), write.expected, ""},
                           [this, id](Result<store::StoreRevision> written) {
                               if (written) {
                                   {
                                       const std::lock_guard lock(m_mutex);
                                       m_book.endWrite(id, written.value());
                                   }
                                   actAfterWrite(id);
                                   return requestPlan();
                               }
                               if (written.error().kind == ErrorKind::Conflict) {
                                   return resolveConflict(id);
                               }
                               // Also a store that was out of reach may get the write late, from
                               // a call that was given up on.
                               logEvent(jobWriteUnclear, "{}: {}", id.value(),
                                        written.error().toString());
                               const std::lock_guard lock(m_mutex);
                               m_book.markUnclear(id);
                           });
}

// Saves the time until the next pass, which urgent jobs would feel.
void JobController::actAfterWrite(const JobId &id)
{
    std::optional<TaskAction> action;
    JobRecord record;
    {
        const std::lock_guard lock(m_mutex);
        const auto *known = m_book.find(id);
        if (!m_leading || !m_tasksKnown || known == nullptr) {
            return;
        }
        record = *known;
        action = m_book.actionFor(id, m_settings.policy, wallNow());
        if (action && std::holds_alternative<StartTask>(*action)) {
            m_book.beginStart(id);
        }
    }
    if (!action) {
        return;
    }
    if (const auto *command = std::get_if<CommandTask>(&*action)) {
        return sendCommands(command->command, {taskOf(record)});
    }
    sendStart(record);
}

void JobController::resolveConflict(const JobId &id)
{
    m_store.get(jobKey(id), [this, id](Result<std::optional<store::StoreItem>> item) {
        const std::lock_guard lock(m_mutex);
        if (!item) {
            return m_book.markUnclear(id);
        }
        const auto &stored = item.value();
        m_book.resolveWrite(id, stored ? readJobRecord(stored->value) : std::nullopt,
                            stored ? stored->revision : 0);
    });
}

void JobController::sendStart(const JobRecord &record)
{
    store::TaskStart start;
    start.id = taskOf(record);
    start.worker = record.worker;
    start.lease = m_settings.taskLease;
    start.processors = record.resources.processors;
    start.memoryMib = record.resources.memoryMib;
    start.accelerators = record.resources.accelerators;
    start.checkpoint = record.checkpoint;
    start.body = record.body;
    m_taskClient.start(start, [this, id = record.id](const Result<void> &) {
        // Whether it started is learned from the listing; if not, it is started again.
        const std::lock_guard lock(m_mutex);
        m_book.endStart(id);
    });
}

void JobController::sendCommands(store::TaskCommand command, const std::vector<std::string> &tasks)
{
    if (!tasks.empty()) {
        m_taskClient.command(command, tasks, [](const Result<void> &) {});
    }
}

void JobController::forgetEnded(const std::vector<std::string> &tasks)
{
    if (tasks.empty()) {
        return;
    }
    m_taskClient.command(store::TaskCommand::Forget, tasks,
                         [this, tasks](const Result<void> &forgotten) {
                             if (forgotten) {
                                 const std::lock_guard lock(m_mutex);
                                 m_book.forgetTasks(tasks);
                             }
                         });
}

void JobController::removeOld(WallTime now)
{
    std::vector<std::pair<JobId, store::StoreRevision>> old;
    {
        const std::lock_guard lock(m_mutex);
        const auto steady = steadyNow();
        if (steady < m_nextRemoval) {
            return;
        }
        m_nextRemoval = steady + removalInterval;
        old = m_book.finalBefore(now - m_settings.retention);
    }
    if (old.size() > maxRemovals) {
        old.resize(maxRemovals);
    }
    for (const auto &[id, revision] : old) {
        m_store.remove(jobKey(id), revision, [](const Result<store::StoreRevision> &) {});
    }
}

void JobController::tellWaiting(TimePoint now)
{
    WaitingMessage message;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_waitingListener || !m_leading || !m_recordsKnown || now < m_nextWaiting) {
            return;
        }
        m_nextWaiting = now + waitingInterval;
        message.counts = m_book.mostWaiting(maxWaitingCounts);
    }
    m_waitingListener(message);
}

} // namespace cyclamenlatch::jobs
