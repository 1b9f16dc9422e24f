// Properties of jobs over random interleavings of entries that all believe to lead: crashes,
// pauses, stale views, lost answers, messages that arrive after their sender's end, an outage of
// the platform, drains and lapses. The stand-in platform's ledger judges.
#include "global/tests/propertyparts.h"
#include "jobs/jobbook.h"
#include "quota/quotatable.h"
#include "standins/platform/storemodel.h"
#include "standins/platform/taskmodel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace cyclamenlatch::jobs {
namespace {

using standins::StoreModel;
using standins::TaskModel;
using store::TaskCommand;
using store::TaskStart;

constexpr std::size_t entryCount = 3;
constexpr std::chrono::milliseconds lease{3000};
const std::vector<std::string> workspaces{"drivers", "agents"};
// Each entry's part of each workspace's limit; the limit is their sum.
constexpr unsigned unitsPerEntry = 1;
constexpr unsigned limit = unitsPerEntry * entryCount;

// The same cases on each run; set RC_PARAMS to explore others.
[[maybe_unused]] const int seedIsFixed = setenv("RC_PARAMS", "seed=20261203", 0);

enum class Sending { Write, Start, Command };

struct Message
{
    Sending kind = Sending::Write;
    JobWrite write;
    TaskStart start;
    TaskCommand command = TaskCommand::Renew;
    std::vector<std::string> tasks;
};

struct SimulatedEntry
{
    explicit SimulatedEntry(const std::string &name)
        : self(name)
        , book(name, quota)
    {}

    std::string self;
    quota::QuotaTable quota;
    JobBook book;
    std::deque<Message> outbox;
};

class Simulation
{
public:
    explicit Simulation(std::uint32_t seed)
        : m_random(seed)
        , m_index(makeFleet())
    {
        for (std::size_t index = 0; index < entryCount; ++index) {
            m_entries.push_back(makeEntry(unitsPerEntry));
        }
    }

    void step()
    {
        const auto entry = uniformBelow(m_random, entryCount);
        switch (uniformBelow(m_random, 13)) {
        case 0:
            return submit();
        case 1:
            return cancelSome();
        case 2:
            return crash(entry);
        case 3:
            return deliverLate();
        case 4:
            m_outage = uniformBelow(m_random, 3) == 0;
            return;
        case 5:
            return setDrains();
        case 6:
        case 7:
            return refresh(*m_entries[entry]);
        case 8:
            return plan(*m_entries[entry]);
        case 9:
            return pass(std::chrono::milliseconds(uniformBelow(m_random, 1500)));
        default:
            return sendNext(*m_entries[entry]);
        }
    }

    void check() const
    {
        std::map<std::string, unsigned> running;
        for (const auto &[job, ledger] : m_tasks.ledger()) {
            RC_ASSERT(ledger.mostAtOnce <= 1U);
            RC_ASSERT(ledger.completions <= 1U);
            running[m_workspaceOf.at(job.substr(0, job.rfind('-')))] += ledger.runningNow;
        }
        for (const auto &[workspace, count] : running) {
            RC_ASSERT(count <= limit);
        }
        for (const auto &[job, workspace] : m_workspaceOf) {
            RC_ASSERT(m_store.get(jobKey(JobId(job))).has_value());
        }
    }

    // One entry works on alone; every job must come to its end.
    void heal()
    {
        constexpr int maxRounds = 2000;
        m_outage = false;
        m_lossless = true;
        m_tasks.setFaults({});
        while (!m_late.empty()) {
            deliverLate();
        }
        for (int round = 0; round < maxRounds && !allFinal(); ++round) {
            reclaimUnits();
            for (auto &entry : m_entries) {
                refresh(*entry);
                sendAll(*entry);
            }
            plan(*m_entries[0]);
            sendAll(*m_entries[0]);
            pass(std::chrono::milliseconds(100));
            check();
        }
        RC_ASSERT(allFinal());
        for (const auto &[job, workspace] : m_workspaceOf) {
            const auto record = stored(job);
            const auto found = m_tasks.ledger().find(runOf(*record));
            const unsigned completions =
                    found == m_tasks.ledger().end() ? 0 : found->second.completions;
            RC_ASSERT((record->state == JobState::Completed) == (completions == 1U));
        }
    }

private:
    static fleet::FleetDocument makeFleet()
    {
        fleet::FleetDocument fleet;
        fleet.pools = {{PoolId("p"), false}};
        fleet.services.push_back({ServiceId("s"), PoolId("p")});
        for (const auto *name : {"usual", "urgent"}) {
            fleet::Queue queue;
            queue.id = QueueId(name);
            queue.service = ServiceId("s");
            queue.urgent = std::string(name) == "urgent";
            fleet.queues.push_back(queue);
        }
        for (int index = 0; index < 3; ++index) {
            fleet::Worker worker;
            worker.id = WorkerId("w-" + std::to_string(index));
            worker.pool = PoolId("p");
            worker.resources = {2, 2048, 0};
            fleet.workers.push_back(worker);
        }
        for (const auto &workspace : workspaces) {
            fleet.workspaces.push_back({WorkspaceId(workspace), 1, limit});
        }
        return fleet;
    }

    std::unique_ptr<SimulatedEntry> makeEntry(unsigned units)
    {
        auto entry = std::make_unique<SimulatedEntry>("e-" + std::to_string(m_nextName++));
        for (const auto &workspace : workspaces) {
            entry->quota.setHeld(quota::limitOf(WorkspaceId(workspace)), units);
        }
        return entry;
    }

    WallTime wall() const { return WallTime(std::chrono::hours(1)) + toMilliseconds(m_now); }
    TimePoint steady() const { return TimePoint(m_now); }

    std::optional<JobRecord> stored(const std::string &job) const
    {
        const auto item = m_store.get(jobKey(JobId(job)));
        return item ? std::optional(recordOf(*item)) : std::nullopt;
    }

    // Parses each revision once; the store is looked at far more often than it changes.
    const JobRecord &recordOf(const store::StoreItem &item) const
    {
        auto &read = m_read[item.key];
        if (read.revision != item.revision) {
            read = {item.revision, *readJobRecord(item.value)};
        }
        return read.record;
    }

    bool allFinal() const
    {
        return std::all_of(m_workspaceOf.begin(), m_workspaceOf.end(),
                           [this](const auto &job) { return isFinal(stored(job.first)->state); });
    }

    void submit()
    {
        constexpr std::size_t maxJobs = 10;
        if (m_workspaceOf.size() >= maxJobs) {
            return;
        }
        JobRecord record;
        record.id = JobId("j" + std::to_string(m_workspaceOf.size()));
        record.workspace = WorkspaceId(workspaces[uniformBelow(m_random, 2)]);
        record.queue = QueueId(uniformBelow(m_random, 4) == 0 ? "urgent" : "usual");
        record.resources = {1.0 + uniformBelow(m_random, 2), 512, 0};
        record.body = "{\"runMs\": " + std::to_string(uniformBelow(m_random, 4000)) + "}";
        record.createdAt = record.enteredAt = record.notBefore = wall();
        m_store.write({jobKey(record.id), writeJobRecord(record), 0, ""});
        m_workspaceOf[record.id.value()] = record.workspace.value();
    }

    void cancelSome()
    {
        if (m_workspaceOf.empty() || m_outage || uniformBelow(m_random, 4) != 0) {
            return;
        }
        const auto job = "j"
                         + std::to_string(uniformBelow(
                                 m_random, static_cast<std::uint32_t>(m_workspaceOf.size())));
        const auto item = m_store.get(jobKey(JobId(job)));
        const auto &record = recordOf(*item);
        if (!isFinal(record.state) && !record.cancelRequested) {
            m_store.write(
                    {item->key, writeJobRecord(cancelled(record, wall())), item->revision, ""});
        }
    }

    // What was on its way may still arrive, long after.
    void crash(std::size_t index)
    {
        auto &entry = m_entries[index];
        for (auto &message : entry->outbox) {
            if (uniformBelow(m_random, 2) == 0) {
                m_late.push_back(std::move(message));
            }
        }
        m_lost[index].push_back(std::move(entry));
        // The new process holds nothing until the lost one's units are known to be free.
        entry = makeEntry(0);
        reclaimUnits();
    }

    // Proof that the units of an entry's predecessors are free: no record names one of them, and
    // nothing of theirs is under way.
    void reclaimUnits()
    {
        for (std::size_t index = 0; index < entryCount; ++index) {
            const auto &lost = m_lost[index];
            if (std::any_of(lost.begin(), lost.end(),
                            [this](const auto &entry) { return isNamed(entry->self); })) {
                continue;
            }
            for (const auto &workspace : workspaces) {
                m_entries[index]->quota.setHeld(quota::limitOf(WorkspaceId(workspace)),
                                                unitsPerEntry);
            }
            m_lost[index].clear();
        }
    }

    bool isNamed(const std::string &self) const
    {
        for (const auto &message : m_late) {
            if (message.kind == Sending::Write && message.write.next.holder == self) {
                return true;
            }
        }
        return std::any_of(m_workspaceOf.begin(), m_workspaceOf.end(),
                           [&](const auto &job) { return stored(job.first)->holder == self; });
    }

    void deliverLate()
    {
        if (m_late.empty()) {
            return;
        }
        const auto index = uniformBelow(m_random, static_cast<std::uint32_t>(m_late.size()));
        const auto message = m_late[index];
        m_late.erase(m_late.begin() + index);
        apply(message);
    }

    std::optional<store::StoreRevision> apply(const Message &message)
    {
        switch (message.kind) {
        case Sending::Write:
            return m_store.write({jobKey(message.write.next.id), writeJobRecord(message.write.next),
                                  message.write.expected, ""});
        case Sending::Start:
            m_tasks.start(message.start, steady());
            break;
        case Sending::Command:
            m_tasks.command(message.command, message.tasks, steady());
            break;
        }
        return std::nullopt;
    }

    void setDrains()
    {
        standins::TaskFaults faults;
        if (uniformBelow(m_random, 2) == 0) {
            faults.draining.insert(WorkerId("w-" + std::to_string(uniformBelow(m_random, 3))));
        }
        if (uniformBelow(m_random, 4) == 0) {
            faults.cut.insert(WorkerId("w-" + std::to_string(uniformBelow(m_random, 3))));
        }
        m_tasks.setFaults(faults);
    }

    void refresh(SimulatedEntry &entry)
    {
        if (m_outage) {
            return;
        }
        for (const auto &item : m_store.list(jobKeyPrefix).items) {
            entry.book.noteRecord(recordOf(item), item.revision);
        }
        entry.book.noteTasks(m_tasks.changes(0));
    }

    void plan(SimulatedEntry &entry)
    {
        const auto input = entry.book.makePlanInput(m_index, m_policy, wall());
        auto decided = planJobs(input, m_random);
        for (const auto *record : decided.starts) {
            TaskStart start;
            start.id = taskOf(*record);
            start.worker = record->worker;
            start.lease = lease;
            start.checkpoint = record->checkpoint;
            start.body = record->body;
            entry.outbox.push_back({Sending::Start, {}, start, {}, {}});
        }
        for (const auto &[command, tasks] : decided.commands) {
            entry.outbox.push_back({Sending::Command, {}, {}, command, tasks});
        }
        entry.outbox.push_back(
                {Sending::Command, {}, {}, TaskCommand::Renew, entry.book.renewals()});
        entry.outbox.push_back(
                {Sending::Command, {}, {}, TaskCommand::Stop, entry.book.strayTasks()});
        for (const auto &write : decided.writes) {
            if (entry.book.beginWrite(write, wall())) {
                entry.outbox.push_back({Sending::Write, write, {}, {}, {}});
            }
        }
        for (const auto &write : entry.book.takeUnclearWrites()) {
            entry.outbox.push_back({Sending::Write, write, {}, {}, {}});
        }
    }

    void sendAll(SimulatedEntry &entry)
    {
        while (!entry.outbox.empty()) {
            sendNext(entry);
        }
    }

    void sendNext(SimulatedEntry &entry)
    {
        if (entry.outbox.empty()) {
            return;
        }
        const auto message = entry.outbox.front();
        entry.outbox.pop_front();
        if (message.kind != Sending::Write) {
            if (!m_outage) {
                apply(message);
            }
            return;
        }
        sendWrite(entry, message);
    }

    void sendWrite(SimulatedEntry &entry, const Message &message)
    {
        const auto &id = message.write.next.id;
        const auto fate = m_lossless ? 9 : uniformBelow(m_random, 10);
        if (m_outage || fate == 0) {
            // No answer: it took effect, never will, or does so later.
            entry.book.markUnclear(id);
            if (fate < 3) {
                m_late.push_back(message);
            }
            return;
        }
        const auto revision = apply(message);
        if (fate < 3) {
            return entry.book.markUnclear(id);
        }
        if (revision) {
            return entry.book.endWrite(id, *revision);
        }
        const auto item = m_store.get(jobKey(id));
        entry.book.resolveWrite(id, recordOf(*item), item->revision);
    }

    void pass(std::chrono::milliseconds time)
    {
        m_now += time;
        m_tasks.advance(steady());
        reclaimUnits();
    }

    Random m_random;
    CandidateIndex m_index;
    JobPolicy m_policy;
    Duration m_now{std::chrono::seconds(1)};
    struct ReadRecord
    {
        store::StoreRevision revision = 0;
        JobRecord record;
    };

    StoreModel m_store;
    // By store key.
    mutable std::map<std::string, ReadRecord> m_read;
    TaskModel m_tasks;
    bool m_outage = false;
    bool m_lossless = false;
    unsigned m_nextName = 0;
    std::vector<std::unique_ptr<SimulatedEntry>> m_entries;
    // By index of m_entries: predecessors whose units are not known to be free yet.
    std::array<std::vector<std::unique_ptr<SimulatedEntry>>, entryCount> m_lost;
    std::vector<Message> m_late;
    std::map<std::string, std::string> m_workspaceOf;
};

void runOnceAtATimeWithinLimits(std::uint32_t seed)
{
    constexpr int steps = 400;
    Simulation simulation(seed);
    for (int step = 0; step < steps; ++step) {
        simulation.step();
        simulation.check();
    }
    simulation.heal();
}

class JobInterleavings : public PropertyPart
{};

TEST_P(JobInterleavings, runOnceAtATimeWithinLimitsAndAreNeverLost)
{
    check(&runOnceAtATimeWithinLimits);
}

INSTANTIATE_TEST_SUITE_P(Parts, JobInterleavings, ::testing::Range(0, propertyParts));

} // namespace
} // namespace cyclamenlatch::jobs
