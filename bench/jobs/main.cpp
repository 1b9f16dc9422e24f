// Bench "jobs": how soon urgent jobs start on a fleet that is full, on a virtual clock with the
// stand-in platform's state machines, against the same jobs without an urgent class; and how long
// one planning pass takes. Each step of the entry costs the virtual time that it would take:
// store writes, task calls, and the gap between passes.
#include "bench/jobs/fleetshape.h"
#include "global/quantile.h"
#include "jobs/jobbook.h"
#include "quota/quotatable.h"
#include "standins/platform/storemodel.h"
#include "standins/platform/taskmodel.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <vector>

DEFINE_uint64(seed, 1, "seed of every run");

namespace cyclamenlatch::bench {

namespace {

using namespace std::chrono_literals;
using jobs::JobState;

constexpr std::chrono::milliseconds storeWriteTime{5};
constexpr std::chrono::milliseconds taskCallTime{5};
// Target of the brief for urgent work, and of the issue for one pass.
constexpr double urgentStartTargetSeconds = 1.3;
constexpr double passTargetMilliseconds = 50;
constexpr std::chrono::milliseconds taskLease{15000};
// What the controller allows itself at most: JobControllerSettings::maxPlanGap.
constexpr std::chrono::milliseconds passGap{200};

struct Figure
{
    std::string figure;
    double value = 0;
    std::string unit;
    double baseline = 0;
    double target = 0;
};

void print(const Figure &figure)
{
    std::cout << nlohmann::json{{"bench", "jobs"},
                                {"figure", figure.figure},
                                {"value", figure.value},
                                {"unit", figure.unit},
                                {"baseline", figure.baseline},
                                {"target", figure.target},
                                {"seed", FLAGS_seed}}
                         .dump()
              << std::endl;
}

// One leading entry with store and platform, stepped by the virtual clock.
class VirtualFleet
{
public:
    VirtualFleet(const fleet::FleetDocument &fleet, std::uint64_t seed)
        : m_random(seed)
        , m_index(fleet)
        , m_book("e-a/1", m_quota)
    {
        for (const auto &workspace : fleet.workspaces) {
            m_quota.setHeld(quota::limitOf(workspace.id), workspace.limit);
        }
    }

    WallTime now() const { return WallTime(1000h) + toMilliseconds(m_now); }
    Random &random() { return m_random; }

    JobId submit(const std::string &queue, const std::string &workspace, double processors,
                 double memoryMib, std::chrono::milliseconds runTime)
    {
        jobs::JobRecord record;
        record.id = JobId("j" + std::to_string(m_nextJob++));
        record.queue = QueueId(queue);
        record.workspace = WorkspaceId(workspace);
        record.resources = {processors, memoryMib, 0};
        record.body = nlohmann::json{{"runMs", runTime.count()}}.dump();
        record.createdAt = record.enteredAt = record.notBefore = now();
        const auto revision =
                m_store.write({jobs::jobKey(record.id), writeJobRecord(record), 0, ""});
        m_book.noteRecord(record, *revision);
        return record.id;
    }

    // A pass, its writes, then its task calls, one after the other. Returns whether it decided
    // anything.
    bool round()
    {
        const auto input = m_book.makePlanInput(m_index, m_policy, now());
        auto plan = jobs::planJobs(input, m_random);
        std::vector<jobs::JobRecord> starts;
        for (const auto *record : plan.starts) {
            starts.push_back(*record);
        }
        std::vector<jobs::JobWrite> writes;
        for (const auto &write : plan.writes) {
            if (m_book.beginWrite(write, now())) {
                writes.push_back(write);
            }
        }
        pass(writes.empty() ? 0ms : storeWriteTime);
        for (const auto &write : writes) {
            const auto revision = m_store.write(
                    {jobs::jobKey(write.next.id), writeJobRecord(write.next), write.expected, ""});
            m_book.endWrite(write.next.id, *revision);
            const auto action = m_book.actionFor(write.next.id, m_policy, now());
            if (!action) {
                continue;
            }
            if (const auto *command = std::get_if<jobs::CommandTask>(&*action)) {
                plan.commands[command->command].push_back(taskOf(write.next));
            } else {
                starts.push_back(write.next);
            }
        }
        pass(starts.empty() && plan.commands.empty() ? 0ms : taskCallTime);
        for (const auto &record : starts) {
            store::TaskStart start;
            start.id = taskOf(record);
            start.worker = record.worker;
            start.lease = taskLease;
            start.processors = record.resources.processors;
            start.memoryMib = record.resources.memoryMib;
            start.checkpoint = record.checkpoint;
            start.body = record.body;
            m_tasks.start(start, TimePoint(m_now));
        }
        for (const auto &[command, tasks] : plan.commands) {
            m_tasks.command(command, tasks, TimePoint(m_now));
        }
        m_tasks.command(store::TaskCommand::Renew, m_book.renewals(), TimePoint(m_now));
        const auto listing = m_tasks.changes(m_taskRevision);
        m_taskRevision = listing.revision;
        m_book.noteTasks(listing);
        m_book.forgetTasks(m_book.endedTasks());
        pass(m_passGap);
        return !writes.empty() || !starts.empty();
    }

    const jobs::JobRecord &find(const JobId &id) const { return *m_book.find(id); }
    bool hasStarted(const JobId &id) const
    {
        const auto state = find(id).state;
        return state == JobState::Running || state == JobState::Completed;
    }
    void setPassGap(std::chrono::milliseconds gap) { m_passGap = gap; }

    double measurePass()
    {
        const auto begin = steadyNow();
        const auto input = m_book.makePlanInput(m_index, m_policy, now());
        const auto plan = jobs::planJobs(input, m_random);
        const auto took = toSeconds(steadyNow() - begin) * 1000;
        m_lastWrites = plan.writes.size();
        return took;
    }
    std::size_t lastWrites() const { return m_lastWrites; }
    std::size_t jobCount() const { return m_book.size(); }

private:
    void pass(std::chrono::milliseconds time)
    {
        m_now += time;
        m_tasks.advance(TimePoint(m_now));
    }

    Random m_random;
    jobs::CandidateIndex m_index;
    jobs::JobPolicy m_policy;
    quota::QuotaTable m_quota;
    jobs::JobBook m_book;
    Duration m_now{1s};
    standins::StoreModel m_store;
    standins::TaskModel m_tasks;
    store::TaskRevision m_taskRevision = 0;
    std::chrono::milliseconds m_passGap{10};
    std::size_t m_lastWrites = 0;
    unsigned m_nextJob = 0;
};

// Fills every worker with jobs of an hour, of sizes that differ.
void fill(VirtualFleet &fleet, const FleetShape &shape)
{
    const double total = shape.workers * shape.processors;
    double asked = 0;
    for (unsigned index = 0; asked < total * 1.2; ++index) {
        const double processors = 1 << uniformBelow(fleet.random(), 4);
        asked += processors;
        fleet.submit(fmt::format("usual-{}", index % shape.pools),
                     fmt::format("t-{}", uniformBelow(fleet.random(), shape.workspaces)),
                     processors, shape.memoryMib / shape.processors * processors,
                     std::chrono::minutes(30 + uniformBelow(fleet.random(), 60)));
    }
    constexpr unsigned rounds = 400;
    for (unsigned round = 0; round < rounds && fleet.round(); ++round) {
    }
}

// Urgent jobs arrive in bursts on the full fleet. Returns the seconds from submission until each
// ran; those that still wait at the end count with the time waited.
std::vector<double> urgentStarts(const FleetShape &shape, bool urgentClass, unsigned burst)
{
    constexpr unsigned bursts = 5;
    // Urgent jobs run for five seconds.
    constexpr std::chrono::milliseconds betweenBursts{10000};
    VirtualFleet fleet(makeFleet(shape), FLAGS_seed);
    fill(fleet, shape);
    fleet.setPassGap(passGap);
    std::map<std::string, WallTime> waiting;
    std::vector<double> seconds;
    const auto collect = [&] {
        for (auto item = waiting.begin(); item != waiting.end();) {
            if (!fleet.hasStarted(JobId(item->first))) {
                ++item;
                continue;
            }
            seconds.push_back(toSeconds(fleet.now() - item->second));
            item = waiting.erase(item);
        }
    };
    for (unsigned round = 0; round < bursts; ++round) {
        for (unsigned index = 0; index < burst; ++index) {
            const double processors = 1 << uniformBelow(fleet.random(), 3);
            const auto id = fleet.submit(
                    fmt::format("{}-{}", urgentClass ? "urgent" : "usual",
                                uniformBelow(fleet.random(), shape.pools)),
                    fmt::format("t-{}", uniformBelow(fleet.random(), shape.workspaces)), processors,
                    shape.memoryMib / shape.processors * processors, 5s);
            waiting[id.value()] = fleet.now();
        }
        const auto end = fleet.now() + betweenBursts;
        while (fleet.now() < end) {
            fleet.round();
            collect();
        }
    }
    for (const auto &[id, since] : waiting) {
        seconds.push_back(toSeconds(fleet.now() - since));
    }
    return seconds;
}

void benchUrgent(const FleetShape &shape, unsigned burst)
{
    const auto ours = urgentStarts(shape, true, burst);
    const auto baseline = urgentStarts(shape, false, burst);
    print({shape.name + ".urgent-start-p99", quantile(ours, 0.99), "s", quantile(baseline, 0.99),
           urgentStartTargetSeconds});
    print({shape.name + ".urgent-start-median", quantile(ours, 0.5), "s", quantile(baseline, 0.5),
           urgentStartTargetSeconds});
}

// The baseline is a pass with nothing to decide.
void benchPass(const FleetShape &shape)
{
    constexpr unsigned passes = 20;
    VirtualFleet fleet(makeFleet(shape), FLAGS_seed);
    fill(fleet, shape);
    std::vector<double> idle;
    std::vector<double> busy;
    for (unsigned pass = 0; pass < passes; ++pass) {
        idle.push_back(fleet.measurePass());
    }
    for (unsigned index = 0; index < shape.workspaces * 4; ++index) {
        fleet.submit(fmt::format("{}-{}", index % 8 == 0 ? "urgent" : "usual", index % shape.pools),
                     fmt::format("t-{}", index % shape.workspaces), 2, 2048, 5s);
    }
    for (unsigned pass = 0; pass < passes; ++pass) {
        busy.push_back(fleet.measurePass());
    }
    print({shape.name + ".planning-pass-max", quantile(busy, 1), "ms", quantile(idle, 1),
           passTargetMilliseconds});
    print({shape.name + ".planning-pass-jobs", static_cast<double>(fleet.jobCount()), "jobs", 0,
           0});
}

} // namespace

} // namespace cyclamenlatch::bench

int main(int argc, char **argv)
{
    using namespace cyclamenlatch::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr unsigned smallBurst = 10;
    constexpr unsigned largeBurst = 100;
    benchUrgent(fremantle, smallBurst);
    benchUrgent(bepChung, smallBurst);
    benchUrgent(plannedFleet, largeBurst);
    benchPass(fremantle);
    benchPass(bepChung);
    benchPass(plannedFleet);
    return 0;
}
