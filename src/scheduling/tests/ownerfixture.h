// An owner's core with targets and jobs for tests: a clock that only the test moves, and orders
// that are answered only when the test says so.
#pragma once

#include "scheduling/ownercore.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling::tests {

using namespace std::chrono_literals;

inline StepSpec makeStep(std::uint32_t count, std::int64_t processors = 1000)
{
    StepSpec step;
    step.count = count;
    step.requiredResources = Resources{processors, 1000, 0};
    step.estimate = 1000ms;
    return step;
}

inline FleetRules makeRules()
{
    FleetRules rules;
    rules.version = 1;
    QueueRule queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.maxAttempts = 3;
    queue.slackFactor = 2;
    queue.targetLatency = 600ms;
    rules.queues.push_back(queue);
    rules.services.push_back({"pool", false, false});
    WorkspaceRule workspace;
    workspace.name = "space";
    workspace.weight = 50;
    rules.workspaces.push_back(workspace);
    return rules;
}

class OwnerFixture
{
public:
    explicit OwnerFixture(std::uint64_t term = 1)
        : core(OwnerSettings{term}, now,
               [this](const Decision &decision) { decisions.push_back(decision); })
    {
        core.setRules(makeRules(), now);
    }

    void advance(Duration duration) { now += duration; }

    // In this data centre.
    void joinIn(const std::string &id, const std::string &where)
    {
        dataCentre = where;
        join(id);
    }

    void list(const std::string &id, Resources capacity = Resources{16000, 64000, 0},
              bool isDraining = false)
    {
        TargetInfo info;
        info.id = id;
        info.service = service;
        info.address = "10.0.0.1:80";
        info.labels = {"a", "r1"};
        info.capacity = capacity;
        info.dataCentre = dataCentre;
        info.isDraining = isDraining;
        core.targetListed(info, now);
        core.targetRecorded(id);
    }

    // Lists the target and lets it answer its first call.
    void join(const std::string &id, Resources capacity = Resources{16000, 64000, 0})
    {
        list(id, capacity);
        report(id, {}, {});
    }

    void report(const std::string &id, std::vector<RunStatus> running, std::vector<EndedRun> ends)
    {
        KeepAliveReport report;
        report.clock = clock();
        report.incarnation = 1;
        report.running = std::move(running);
        report.ends = std::move(ends);
        core.keepAliveAnswered(id, report, now, now);
    }

    void submit(JobNumber id, std::vector<StepSpec> steps, const std::string &workspace = "space",
                JobProgress progress = {}, bool isNew = true)
    {
        JobSubmission submission;
        submission.id = id;
        submission.queue = "queue";
        submission.service = service;
        submission.workspace = workspace;
        submission.submitted = wall();
        submission.spec.steps = std::move(steps);
        core.jobArrived(submission, std::move(progress), 1, 1, isNew, now, wall());
    }

    std::vector<Order> plan() { return core.plan(now, wall()); }

    template<typename Kind>
    std::vector<Kind> planned()
    {
        std::vector<Kind> found;
        for (const auto &order : plan()) {
            if (const auto *wanted = std::get_if<Kind>(&order)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    // Plans, stores what begins, and lets targets accept every start.
    std::vector<StartOrder> startAll()
    {
        auto starts = planned<StartOrder>();
        if (starts.empty()) {
            flush();
            starts = planned<StartOrder>();
        }
        for (const auto &start : starts) {
            core.startAnswered(start, OrderResult::Accepted, now);
        }
        return starts;
    }

    static EndedRun end(std::uint64_t number, const StartOrder &start, RunOutcome outcome)
    {
        return EndedRun{number, start.task, start.attempt, outcome, {}};
    }

    static RunStatus running(const StartOrder &start, int percent = 50)
    {
        RunStatus row;
        row.task = start.task;
        row.attempt = start.attempt;
        row.percent = percent;
        return row;
    }

    // Stores what is due, as the shell does.
    Flush flush()
    {
        auto flush = core.takeFlush();
        for (const auto &write : flush.writes) {
            core.jobWritten(write.id, 2, now);
        }
        core.flushDone(flush, now);
        return flush;
    }

    std::chrono::milliseconds clock() const { return toMilliseconds(now.time_since_epoch()); }
    WallTime wall() const { return WallTime(clock()); }

    TimePoint now = TimePoint(1000s);
    // Of the targets that are listed and the jobs that are submitted next.
    std::string service = "pool";
    std::string dataCentre = "a";
    std::vector<Decision> decisions;
    OwnerCore core;
};

} // namespace cyclamenlatch::scheduling::tests
