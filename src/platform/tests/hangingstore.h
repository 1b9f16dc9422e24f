// A stand-in of the users' store that answers only the list of the operators' keys.
#pragma once

#include "net/httpserver.h"
#include "store/base64.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace cyclamenlatch::platform::tests {

inline constexpr const char *smallestJob = R"({"spec":"","phases":[{"count":1}]})";

// Gives the configuration to whoever lists it and leaves every other call without an answer.
class HangingStore
{
public:
    HangingStore()
        : m_work(asio::make_work_guard(m_context))
        , m_server(m_context, {},
                   [this](const auto &request, const auto &respond) { answer(request, respond); })
    {
        EXPECT_TRUE(m_server.start());
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~HangingStore()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint16_t port() const { return m_server.port(); }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        if (request.path != "/v1/kv-range" || request.query.find("prefix=op/") != 0) {
            m_waiting.push_back(respond);
            return;
        }
        const auto rules = store::toBase64(
                R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/q/",)"
                R"("service":"s","public":true}],"services":[],"tenants":[]})");
        net::HttpReply reply;
        reply.body = fmt::format(
                R"({{"items":[{{"key":"op/config","value":"{}","revision":2}}],"at":2}})", rules);
        respond(std::move(reply));
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<net::HttpResponder> m_waiting;
    net::HttpServer m_server;
    std::thread m_thread;
};

} // namespace cyclamenlatch::platform::tests
