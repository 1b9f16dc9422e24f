// A model of a target as its protocol describes it: lives with a clock each, leases, fencing tokens
// and numbered ends; and a record of all runs that checks that no work is done twice.
#pragma once

#include "global/time.h"
#include "scheduling/keepalivereport.h"
#include "scheduling/orders.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::scheduling::tests {

using namespace std::chrono_literals;

// All runs on targets that are up, and the ends `done` that an owner has taken note of.
class RunRecord
{
public:
    // A run: target, incarnation and attempt.
    struct Place
    {
        std::string target;
        std::int64_t incarnation = 0;
        std::uint32_t attempt = 0;

        auto operator<=>(const Place &) const = default;
    };

    void log(TimePoint now, const std::string &text)
    {
        m_lines.push_back(fmt::format("{:.2f} {}", toSeconds(now.time_since_epoch()), text));
    }
    void began(const TaskRef &task, const Place &place, TimePoint now)
    {
        log(now, "began " + text(task, place));
        if (!m_active[task].empty()) {
            fail("two runs at the same time: " + text(task, *m_active[task].begin()) + ", "
                 + text(task, place));
        }
        if (m_noted.contains(task)) {
            fail("a start after an end that was taken note of: " + text(task, place));
        }
        m_active[task].insert(place);
        ++m_starts[task];
    }
    void ended(const TaskRef &task, const Place &place, const char *outcome, TimePoint now)
    {
        log(now, fmt::format("{} {}", outcome, text(task, place)));
        m_active[task].erase(place);
    }
    // The target forgets an end `done`, which came when the task had been started this often.
    void noted(const TaskRef &task, const Place &place, unsigned startsThen, TimePoint now)
    {
        log(now, "noted " + text(task, place));
        m_noted.insert(task);
        if (m_starts[task] != startsThen) {
            fail("a start after an end that was taken note of later: " + text(task, place));
        }
    }
    unsigned starts(const TaskRef &task) const { return m_starts.at(task); }
    bool isActive(const TaskRef &task) const
    {
        const auto found = m_active.find(task);
        return found != m_active.end() && !found->second.empty();
    }
    // The first violation; empty: none.
    const std::string &violation() const { return m_violation; }
    std::string trace() const
    {
        std::string all;
        for (const auto &line : m_lines) {
            all += line + "\n";
        }
        return all;
    }

private:
    static std::string text(const TaskRef &task, const Place &place)
    {
        return fmt::format("task {}.{} attempt {} on {} incarnation {}", task.job, task.index,
                           place.attempt, place.target, place.incarnation);
    }
    void fail(std::string what)
    {
        m_lines.push_back("VIOLATION " + what);
        if (m_violation.empty()) {
            m_violation = std::move(what);
        }
    }

    std::map<TaskRef, std::set<Place>> m_active;
    std::map<TaskRef, unsigned> m_starts;
    std::set<TaskRef> m_noted;
    std::string m_violation;
    std::vector<std::string> m_lines;
};

// What a task does when it runs.
struct TaskWork
{
    Duration length{};
    bool isLongRunning = false;
};

// One life of a target.
class TargetLife
{
public:
    static constexpr std::chrono::milliseconds longestLease{10000};
    static constexpr Duration stopTime = 200ms;

    TargetLife(std::string id, std::int64_t incarnation, std::chrono::milliseconds offset,
               double rate, TimePoint now, RunRecord &record)
        : m_id(std::move(id))
        , m_incarnation(incarnation)
        , m_offset(offset)
        , m_rate(rate)
        , m_born(now)
        , m_record(&record)
    {}

    std::int64_t incarnation() const { return m_incarnation; }
    std::chrono::milliseconds clock(TimePoint now) const
    {
        return m_offset
               + toMilliseconds(std::chrono::duration_cast<Duration>((now - m_born) * m_rate));
    }
    bool hasEnds() const { return !m_ends.empty(); }

    // Whether the token is at least the highest one that came before; nothing is done for others.
    bool admit(std::uint64_t token)
    {
        m_token = std::max(m_token, token);
        return token == m_token;
    }

    OrderResult start(const StartOrder &order, const TaskWork &work, TimePoint now)
    {
        if (!admit(order.token)) {
            return OrderResult::Fenced;
        }
        if (order.leaseUntil <= clock(now)) {
            return OrderResult::DeadlineExceeded;
        }
        extendLease(order.leaseUntil, now);
        if (m_runs.contains({order.task, order.attempt})) {
            return OrderResult::Accepted;
        }
        const auto over = m_over.find(order.task);
        if (over != m_over.end() && order.attempt <= over->second) {
            return OrderResult::StaleAttempt;
        }
        m_runs[{order.task, order.attempt}] = {now, work, std::nullopt};
        m_record->began(order.task, place(order.attempt), now);
        return OrderResult::Accepted;
    }

    OrderResult stop(const StopOrder &order, TimePoint now)
    {
        if (!admit(order.token)) {
            return OrderResult::Fenced;
        }
        auto &over = m_over[order.task];
        over = std::max(over, order.attempt);
        for (auto &[name, run] : m_runs) {
            if (name.first == order.task && name.second <= order.attempt && !run.stopsAt) {
                run.stopsAt = now + stopTime;
            }
        }
        return OrderResult::Accepted;
    }

    // Returns whether the call was admitted; its answer is the list.
    bool keepAlive(const KeepAliveOrder &order, TimePoint now)
    {
        if (!admit(order.token)) {
            return false;
        }
        if (order.leaseUntil > clock(now)) {
            extendLease(order.leaseUntil, now);
        }
        std::erase_if(m_ends, [&](const End &end) {
            if (end.row.number > order.endsRecorded) {
                return false;
            }
            if (end.row.outcome == RunOutcome::Done && !end.hasLapsedSince) {
                m_record->noted(end.row.task, place(end.row.attempt), end.startsThen, now);
            }
            return true;
        });
        return true;
    }

    KeepAliveReport list(TimePoint now) const
    {
        KeepAliveReport report;
        report.clock = clock(now);
        report.incarnation = m_incarnation;
        for (const auto &[name, run] : m_runs) {
            RunStatus row;
            row.task = name.first;
            row.attempt = name.second;
            row.percent = run.work.isLongRunning
                                  ? 100
                                  : static_cast<int>(99 * (now - run.began) / run.work.length);
            report.running.push_back(row);
        }
        for (const auto &end : m_ends) {
            report.ends.push_back(end.row);
        }
        return report;
    }

    // Ends what is due: tasks, stops and the lease.
    void advance(TimePoint now)
    {
        if (clock(now) >= m_leaseUntil) {
            for (auto &end : m_ends) {
                end.hasLapsedSince = true;
            }
            while (!m_runs.empty()) {
                end(m_runs.begin()->first, RunOutcome::LeaseExpired, "lapsed", now);
            }
        }
        std::vector<std::pair<RunName, bool>> due;
        for (const auto &[name, run] : m_runs) {
            const bool isDone = !run.work.isLongRunning && now - run.began >= run.work.length;
            if (isDone || (run.stopsAt && *run.stopsAt <= now)) {
                due.emplace_back(name, isDone);
            }
        }
        for (const auto &[name, isDone] : due) {
            end(name, isDone ? RunOutcome::Done : RunOutcome::Stopped, isDone ? "done" : "stopped",
                now);
        }
    }

    // The process ends, and with it all that runs.
    void vanish(TimePoint now)
    {
        for (const auto &[name, run] : m_runs) {
            m_record->ended(name.first, place(name.second), "vanished", now);
        }
        m_runs.clear();
    }

private:
    using RunName = std::pair<TaskRef, std::uint32_t>;
    struct Run
    {
        TimePoint began{};
        TaskWork work;
        std::optional<TimePoint> stopsAt;
    };
    struct End
    {
        EndedRun row;
        unsigned startsThen = 0;
        bool hasLapsedSince = false;
    };

    RunRecord::Place place(std::uint32_t attempt) const { return {m_id, m_incarnation, attempt}; }

    // A lease is never shortened, and lasts for the longest one at most.
    void extendLease(std::chrono::milliseconds until, TimePoint now)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock(now) + longestLease));
    }

    void end(RunName name, RunOutcome outcome, const char *text, TimePoint now)
    {
        m_runs.erase(name);
        auto &over = m_over[name.first];
        over = std::max(over, name.second);
        m_record->ended(name.first, place(name.second), text, now);
        m_ends.push_back({{++m_lastEnd, name.first, name.second, outcome, {}},
                          m_record->starts(name.first),
                          false});
    }

    std::string m_id;
    std::int64_t m_incarnation = 0;
    std::chrono::milliseconds m_offset{};
    double m_rate = 1;
    TimePoint m_born;
    RunRecord *m_record = nullptr;
    std::uint64_t m_token = 0;
    // On the target's clock.
    std::chrono::milliseconds m_leaseUntil{};
    std::map<RunName, Run> m_runs;
    // By task, the highest attempt that was stopped or has ended.
    std::map<TaskRef, std::uint32_t> m_over;
    std::vector<End> m_ends;
    std::uint64_t m_lastEnd = 0;
};

} // namespace cyclamenlatch::scheduling::tests
