// Simulates a whole fleet around an owner's core, on a virtual clock and without network. Targets
// carry out orders, answer keep-alives as long polls, and end tasks after their run time; the
// queues have their peaks in turn. Sizes and rates are those of the deployment whose load is
// simulated.
#pragma once

#include "scheduling/ownercore.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cyclamenlatch::scheduling::tests {

using namespace std::chrono_literals;

struct FleetShape
{
    std::uint32_t pools = 4;
    std::uint32_t targetsPerPool = 230;
    Resources capacity{16000, 32768, 0};
    // Mean rate of short jobs of all queues together.
    double jobsPerSecond = 100;
    // Rate of a queue in its turn, as a multiple of its mean rate.
    double peak = 3.8;
    Duration turn = 4500ms;
    std::uint32_t tasksPerStep = 8;
    std::int64_t processorsPerTask = 2200;
    Duration taskTime = 1000ms;
    std::uint32_t lastingJobsPerPool = 6;
    std::uint32_t tasksPerLastingJob = 24;
    // Share of the calls to targets that are not answered; lost starts are carried out late.
    double lostShare = 0;
};

class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetShape &shape, std::uint64_t seed = 1)
        : m_shape(shape)
        , m_random(seed)
        , core(OwnerSettings{}, now, [this](const Decision &decision) { recordDecision(decision); })
    {
        FleetRules rules;
        rules.version = 1;
        for (std::uint32_t pool = 0; pool < shape.pools; ++pool) {
            QueueRule queue;
            queue.name = queueOf(pool);
            queue.service = poolOf(pool);
            queue.maxAttempts = 4;
            queue.slackFactor = 1.5;
            queue.targetLatency = 600ms;
            rules.queues.push_back(queue);
            rules.services.push_back({poolOf(pool), false, false});
        }
        WorkspaceRule workspace;
        workspace.name = "space";
        // No job exceeds its workspace's rate.
        workspace.weight = 1e6;
        rules.workspaces.push_back(workspace);
        core.setRules(rules, now);
        for (std::uint32_t pool = 0; pool < shape.pools; ++pool) {
            for (std::uint32_t number = 0; number < shape.targetsPerPool; ++number) {
                addTarget(pool, number);
            }
            for (std::uint32_t job = 0; job < shape.lastingJobsPerPool; ++job) {
                submitLongRunning(pool);
            }
        }
    }

    // Runs the simulation for this long.
    void play(Duration length)
    {
        const auto end = now + length;
        while (now < end) {
            submitArrivals();
            carryOutLostStarts();
            endTasks();
            answerKeepAlives();
            answerFlush();
            carryOut(core.plan(now, wall()));
            if (const auto due = core.flushDue(now); due && *due <= now && !m_isFlushing) {
                m_flush = core.takeFlush();
                m_flushAt = now + storeDelay;
                m_isFlushing = true;
            }
            now += tick;
        }
    }

    std::uint64_t started() const { return m_started; }
    std::uint64_t done() const { return m_done; }
    // While the store is unavailable nothing is stored.
    void setStoreUnavailable(bool isUnavailable) { m_isStoreUnavailable = isUnavailable; }
    // Share of the starts that waited no longer than this; 1 if there were none.
    double startedWithin(Duration wait) const
    {
        const auto inTime = std::count_if(m_waits.begin(), m_waits.end(),
                                          [&](const auto &other) { return other <= wait; });
        return m_waits.empty() ? 1
                               : static_cast<double>(inTime) / static_cast<double>(m_waits.size());
    }

    // Share of the jobs submitted more than this long ago that ended within this time; 1 if there
    // were none.
    double endedWithin(Duration length) const
    {
        double counted = 0;
        double inTime = 0;
        for (const auto &[job, arrived] : m_arrived) {
            if (now - arrived <= length) {
                continue;
            }
            const auto ended = m_ended.find(job);
            ++counted;
            inTime += ended != m_ended.end() && ended->second - arrived <= length ? 1 : 0;
        }
        return counted == 0 ? 1 : inTime / counted;
    }

private:
    static constexpr Duration tick = 5ms;
    // The time after which the owner's caller gives a start up, and the delay after which a target
    // carries out a lost one.
    static constexpr Duration orderTimeout = 800ms;
    static constexpr Duration lostStartDelay = 4s;
    static constexpr Duration storeDelay = 10ms;
    static constexpr Duration defaultWait = 1500ms;

    struct Run
    {
        TaskRef task;
        std::uint32_t attempt = 0;
        TimePoint endsAt{};
        bool isLongRunning = false;
    };
    struct Target
    {
        std::string id;
        std::vector<Run> runs;
        std::vector<EndedRun> ends;
        std::uint64_t lastEnd = 0;
        TimePoint askedAt{};
        // When the waiting call is answered, or while pausing, when the next one is sent.
        TimePoint answersAt{};
        bool isPausing = false;
        bool isCallLost = false;
        std::uint64_t recorded = 0;
    };
    struct LostStart
    {
        StartOrder order;
        TimePoint sentAt{};
        bool isGivenUp = false;
    };

    bool isLost() { return std::bernoulli_distribution(m_shape.lostShare)(m_random); }

    static std::string poolOf(std::uint32_t pool) { return "pool-" + std::to_string(pool); }
    static std::string queueOf(std::uint32_t pool) { return "queue-" + std::to_string(pool); }
    std::chrono::milliseconds clock() const { return toMilliseconds(now.time_since_epoch()); }
    WallTime wall() const { return WallTime(clock()); }

    void addTarget(std::uint32_t pool, std::uint32_t number)
    {
        TargetInfo info;
        info.id = "i-" + std::to_string(m_random()) + "-" + std::to_string(number);
        info.service = poolOf(pool);
        info.address = "10.0.0.1:80";
        info.labels = {"a", "r" + std::to_string(pool) + "-" + std::to_string(number / 20)};
        info.capacity = m_shape.capacity;
        core.targetListed(info, now);
        core.targetRecorded(info.id);
        auto &target = m_targets[info.id];
        target.id = info.id;
        sendKeepAlive(target);
    }

    void submit(std::uint32_t pool, std::vector<StepSpec> steps)
    {
        JobSubmission submission;
        submission.id = m_random();
        submission.queue = queueOf(pool);
        submission.service = poolOf(pool);
        submission.workspace = "space";
        submission.submitted = wall();
        submission.spec.steps = std::move(steps);
        if (!submission.spec.isLongRunning()) {
            m_arrived[submission.id] = now;
        }
        ++m_revision;
        core.jobArrived(submission, {}, m_revision, m_revision, true, now, wall());
    }

    void submitLongRunning(std::uint32_t pool)
    {
        StepSpec step;
        step.count = m_shape.tasksPerLastingJob;
        step.requiredResources = Resources{2400, 4000, 0};
        step.isLongRunning = true;
        step.maxTasksPerTarget = 1;
        step.maxUnavailable = 4;
        submit(pool, {step});
    }

    void submitArrivals()
    {
        for (std::uint32_t pool = 0; pool < m_shape.pools; ++pool) {
            const auto turn = (now - m_began) / m_shape.turn % m_shape.pools;
            const double mean = m_shape.jobsPerSecond / m_shape.pools;
            const double rate = turn == pool ? mean * m_shape.peak : mean * 0.05;
            std::poisson_distribution<int> count(rate * toSeconds(tick));
            for (int job = count(m_random); job > 0; --job) {
                StepSpec step;
                step.count = m_shape.tasksPerStep;
                step.requiredResources = Resources{m_shape.processorsPerTask, 2300, 0};
                step.estimate = toMilliseconds(m_shape.taskTime);
                auto second = step;
                second.after = {0};
                submit(pool, job % 2 == 0 ? std::vector{step} : std::vector{step, second});
            }
        }
    }

    void endTasks()
    {
        for (auto &[id, target] : m_targets) {
            std::erase_if(target.runs, [&, &target = target](const Run &run) {
                if (run.isLongRunning || run.endsAt > now) {
                    return false;
                }
                target.ends.push_back(
                        {++target.lastEnd, run.task, run.attempt, RunOutcome::Done, {}});
                ++m_done;
                return true;
            });
        }
    }

    void sendKeepAlive(Target &target)
    {
        const auto order = core.keepAliveOrder(target.id, now);
        target.askedAt = now;
        target.answersAt = now + (order ? Duration{order->wait} : defaultWait);
        target.isCallLost = order && isLost();
        if (target.isCallLost) {
            target.answersAt += order->timeout;
        }
        target.recorded = order ? order->endsRecorded : target.recorded;
        std::erase_if(target.ends, [&](const auto &end) { return end.number <= target.recorded; });
    }

    void answerKeepAlives()
    {
        for (auto &[id, target] : m_targets) {
            if (target.isPausing) {
                if (now >= target.answersAt) {
                    target.isPausing = false;
                    sendKeepAlive(target);
                }
                continue;
            }
            if (target.isCallLost) {
                if (now >= target.answersAt) {
                    core.keepAliveFailed(id, now);
                    sendKeepAlive(target);
                }
                continue;
            }
            const bool hasEnds = !target.ends.empty() && now > target.askedAt;
            if (!hasEnds && now < target.answersAt) {
                continue;
            }
            KeepAliveReport report;
            report.clock = clock();
            report.incarnation = 1;
            report.token = core.fencingToken(id);
            for (const auto &run : target.runs) {
                RunStatus row;
                row.task = run.task;
                row.attempt = run.attempt;
                row.percent = run.isLongRunning ? 100 : 50;
                report.running.push_back(row);
            }
            report.ends = target.ends;
            core.keepAliveAnswered(id, report, target.askedAt, now);
            ++keepAliveAnswers;
            const auto pause = core.keepAliveDelay(id, Duration{});
            target.isPausing = pause.count() > 0;
            if (target.isPausing) {
                target.answersAt = now + pause;
            } else {
                sendKeepAlive(target);
            }
        }
    }

    void answerFlush()
    {
        if (!m_isFlushing || m_isStoreUnavailable || now < m_flushAt) {
            return;
        }
        m_isFlushing = false;
        for (const auto &write : m_flush.writes) {
            core.jobWritten(write.id, ++m_revision, now);
        }
        core.flushDone(m_flush, now);
    }

    void carryOut(const std::vector<Order> &orders)
    {
        for (const auto &order : orders) {
            if (const auto *start = std::get_if<StartOrder>(&order)) {
                if (isLost()) {
                    m_lostStarts.push_back({*start, now, false});
                    continue;
                }
                startRun(*start);
                core.startAnswered(*start, OrderResult::Accepted, now);
                ++m_started;
            } else if (const auto *stop = std::get_if<StopOrder>(&order)) {
                core.stopAnswered(*stop, OrderResult::Accepted, now);
            }
        }
    }

    // Each attempt is started at most once on a target, and not while its task runs there.
    void startRun(const StartOrder &start)
    {
        const auto *job = core.submission(start.task.job);
        const bool isLongRunning = job != nullptr && job->spec.steps[start.task.step].isLongRunning;
        auto &target = m_targets.at(start.targetId);
        const bool isThere = std::any_of(target.runs.begin(), target.runs.end(),
                                         [&](const Run &run) { return run.task == start.task; });
        if (!isThere
            && m_startedAttempts.insert({start.targetId, {start.task, start.attempt}}).second) {
            target.runs.push_back(
                    {start.task, start.attempt, now + m_shape.taskTime, isLongRunning});
        }
    }

    void carryOutLostStarts()
    {
        for (auto &lost : m_lostStarts) {
            if (!lost.isGivenUp && now - lost.sentAt >= orderTimeout) {
                lost.isGivenUp = true;
                core.startAnswered(lost.order, OrderResult::OutcomeUnknown, now);
            }
        }
        while (!m_lostStarts.empty() && now - m_lostStarts.front().sentAt >= lostStartDelay) {
            startRun(m_lostStarts.front().order);
            m_lostStarts.pop_front();
        }
    }

    void recordDecision(const Decision &decision)
    {
        if (decision.kind == Decision::Kind::JobEnded) {
            m_ended[decision.task.job] = now;
        }
        if (decision.kind == Decision::Kind::Started && decision.waited) {
            m_waits.push_back(*decision.waited);
        }
    }

    const FleetShape m_shape;
    pcg64 m_random;
    std::map<std::string, Target> m_targets;
    std::vector<Duration> m_waits;
    // Submission times of the jobs with short tasks.
    std::map<JobNumber, TimePoint> m_arrived;
    std::map<JobNumber, TimePoint> m_ended;
    std::deque<LostStart> m_lostStarts;
    // Attempts that each target has started.
    std::set<std::pair<std::string, std::pair<TaskRef, std::uint32_t>>> m_startedAttempts;
    std::uint64_t m_started = 0;
    std::uint64_t m_done = 0;
    std::uint64_t m_revision = 0;
    Flush m_flush;
    bool m_isFlushing = false;
    bool m_isStoreUnavailable = false;
    TimePoint m_flushAt{};

public:
    TimePoint now = TimePoint(1000s);
    std::uint64_t keepAliveAnswers = 0;
    OwnerCore core;

private:
    const TimePoint m_began = now;
};

} // namespace cyclamenlatch::scheduling::tests
