// An HTTP server on a thread of its own, for tests whose client runs on the test's thread. Its
// handler may keep a responder for good, as a server that never answers does.
#pragma once

#include "net/httpserver.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cyclamenlatch::net::tests {

class ServerThread
{
public:
    using Handler = std::function<void(const HttpRequest &, const HttpResponder &)>;

    // handler runs on the server's thread.
    explicit ServerThread(Handler handler)
        : m_work(asio::make_work_guard(m_context))
        , m_server(m_context, {}, std::move(handler))
    {
        EXPECT_TRUE(m_server.start());
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~ServerThread()
    {
        m_context.stop();
        m_thread.join();
    }
    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    std::uint16_t port() const { return m_server.port(); }
    std::string address() const { return fmt::format("127.0.0.1:{}", port()); }
    // Called by the handler: this request is never answered.
    void leaveUnanswered(const HttpResponder &respond) { m_unanswered.push_back(respond); }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<HttpResponder> m_unanswered;
    HttpServer m_server;
    std::thread m_thread;
};

} // namespace cyclamenlatch::net::tests
