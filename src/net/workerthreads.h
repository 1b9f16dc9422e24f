// A fixed pool of threads that run one io_context.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace cyclamenlatch::net {

class WorkerThreads
{
public:
    explicit WorkerThreads(std::size_t count)
        : m_context(static_cast<int>(count))
        , m_work(asio::make_work_guard(m_context))
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_threads.emplace_back([this] { m_context.run(); });
        }
    }

    ~WorkerThreads() { stop(); }
    WorkerThreads(const WorkerThreads &) = delete;
    WorkerThreads &operator=(const WorkerThreads &) = delete;

    asio::io_context &context() { return m_context; }

    // Ends the threads; handlers that have not run yet are dropped.
    void stop()
    {
        m_work.reset();
        m_context.stop();
        for (auto &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

} // namespace cyclamenlatch::net
