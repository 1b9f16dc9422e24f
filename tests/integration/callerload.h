// Hands in requests one after another from several threads, as callers behind a balancer that
// sends them to entries that are ready, and counts how each ended.
#pragma once

#include "tests/integration/testfleet.h"

#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenlatch::testing {

struct LoadCounts
{
    std::uint64_t completed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    // No whole reply.
    std::uint64_t lost = 0;
    // A completed answer that belongs to other work.
    std::uint64_t wrong = 0;
    // Said not to have run.
    std::vector<std::string> notRunNonces;
};

// Lock order: m_mutex is the only lock and is never held over a call.
class CallerLoad
{
public:
    CallerLoad(TestFleet &fleet, std::string queue, int workMs, unsigned callers)
        : m_fleet(fleet)
        , m_queue(std::move(queue))
        , m_workMs(workMs)
    {
        m_ready.resize(fleet.entryCount(), true);
        for (unsigned caller = 0; caller < callers; ++caller) {
            m_threads.emplace_back([this, caller] { run(caller); });
        }
        m_threads.emplace_back([this] { watchReadiness(); });
    }

    ~CallerLoad() { stop(); }
    CallerLoad(const CallerLoad &) = delete;
    CallerLoad &operator=(const CallerLoad &) = delete;

    LoadCounts stop()
    {
        m_stopped = true;
        for (auto &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
        return counts();
    }

    LoadCounts counts()
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

    // Waits until so many more requests have completed.
    void awaitCompleted(std::uint64_t more)
    {
        const auto target = counts().completed + more;
        TestFleet::await([&] { return counts().completed >= target; });
    }

private:
    void run(unsigned caller)
    {
        for (unsigned number = 0; !m_stopped; ++number) {
            const auto entry = chooseEntry(caller + number);
            const auto nonce = fmt::format("{}-{}-{}", m_queue, caller, number);
            const auto answer = m_fleet.submit(entry, m_queue, nonce, m_workMs);
            count(answer, nonce);
        }
    }

    std::size_t chooseEntry(std::size_t turn)
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t step = 0; step < m_ready.size(); ++step) {
            const auto entry = (turn + step) % m_ready.size();
            if (m_ready[entry]) {
                return entry;
            }
        }
        return turn % m_ready.size();
    }

    void watchReadiness()
    {
        while (!m_stopped) {
            for (std::size_t entry = 0; entry < m_fleet.entryCount(); ++entry) {
                const bool ready = m_fleet.isReady(entry);
                const std::lock_guard lock(m_mutex);
                m_ready[entry] = ready;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    void count(const CallerAnswer &answer, const std::string &nonce)
    {
        const std::lock_guard lock(m_mutex);
        if (answer.outcome == "completed") {
            ++m_counts.completed;
            const bool own = answer.body.is_object() && answer.body.value("nonce", "") == nonce;
            m_counts.wrong += own ? 0 : 1;
        } else if (answer.outcome == "not-run") {
            ++m_counts.notRun;
            m_counts.notRunNonces.push_back(nonce);
        } else if (answer.outcome == "unknown") {
            ++m_counts.unknown;
        } else {
            ++m_counts.lost;
        }
    }

    TestFleet &m_fleet;
    const std::string m_queue;
    const int m_workMs;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    LoadCounts m_counts;
    // Guarded by m_mutex: what the balancer knows of each entry.
    std::vector<bool> m_ready;
    std::vector<std::thread> m_threads;
};

} // namespace cyclamenlatch::testing
