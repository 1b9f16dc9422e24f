// An OwnerCore with targets and jobs for tests. Only the test advances the clock, and orders are
// answered only by its calls.
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

    // Like join, in the given data centre; later targets are listed there too.
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

    // The target's entry in the platform's store names this incarnation.
    void listAs(const std::string &id, std::int64_t incarnation)
    {
        list(id);
        auto info = *core.target(id);
        info.incarnation = incarnation;
        core.targetListed(info, now);
    }

    // Lists the target and reports its first keep-alive answer.
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
        report.token = core.fencingToken(id);
        report.running = std::move(running);
        report.ends = std::move(ends);
        core.keepAliveAnswered(id, report, now, now);
    }

    // The next keep-alive of the target, and its answer as this incarnation.
    void poll(const std::string &id, std::int64_t incarnation, std::vector<RunStatus> running = {},
              std::vector<EndedRun> ends = {})
    {
        const auto order = core.keepAliveOrder(id, now);
        KeepAliveReport report;
        report.clock = clock();
        report.incarnation = incarnation;
        report.token = order ? order->token : 0;
        report.running = std::move(running);
        report.ends = std::move(ends);
        core.keepAliveAnswered(id, report, now, now);
    }

    // Goes on with keep-alives of these targets until starts are planned, for this long at most.
    std::vector<StartOrder> goOn(Duration duration, const std::vector<std::string> &targets)
    {
        std::vector<StartOrder> starts;
        for (const auto end = now + duration; now < end && starts.empty();) {
            advance(100ms);
            for (const auto &id : targets) {
                poll(id, 1);
            }
            starts = sendStarts();
        }
        return starts;
    }

    void submit(JobNumber id, std::vector<StepSpec> steps, const std::string &workspace = "space",
                JobProgress progress = {}, bool isNew = true)
    {
        JobSubmission submission;
        submission.id = id;
        submission.queue = queue;
        submission.service = service;
        submission.workspace = workspace;
        submission.submitted = wall();
        submission.spec.steps = std::move(steps);
        submission.limits = limits;
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

    // Plans, stores the targets of the jobs if needed, and returns the starts that are sent.
    std::vector<StartOrder> sendStarts()
    {
        auto starts = planned<StartOrder>();
        if (starts.empty()) {
            flush();
            starts = planned<StartOrder>();
        }
        return starts;
    }

    // Like sendStarts, and lets the targets accept every start.
    std::vector<StartOrder> startAll()
    {
        auto starts = sendStarts();
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

    // Takes a flush and reports all its writes as successful.
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
    // Service of targets that are listed and jobs that are submitted from now on.
    std::string service = "pool";
    // Queue of jobs that are submitted from now on.
    std::string queue = "queue";
    // Limits that are stored with jobs that are submitted from now on.
    std::optional<JobLimits> limits;
    // Data centre of targets that are listed from now on.
    std::string dataCentre = "a";
    std::vector<Decision> decisions;
    OwnerCore core;
};

} // namespace cyclamenlatch::scheduling::tests
