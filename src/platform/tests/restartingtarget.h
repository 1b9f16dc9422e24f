// A fake of the users' targets on loopback that restarts under its address.
#pragma once

#include "net/httpserver.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::platform::tests {

// One incarnation of a target, which holds what it has been told.
struct Incarnation
{
    std::int64_t born = 0;
    std::chrono::milliseconds clock{};
    std::chrono::milliseconds leaseUntil{};
    std::uint64_t endsForgotten = 0;
    std::uint64_t token = 0;
    std::vector<std::string> started;
    std::vector<std::string> stopped;
};

// A target that accepts what it is told, as the users' targets do, whichever incarnation it was
// meant for.
class RestartingTarget
{
public:
    RestartingTarget() { start({1000, std::chrono::milliseconds(5'000'000)}); }

    void start(Incarnation incarnation)
    {
        now = std::move(incarnation);
        m_context = std::make_unique<asio::io_context>();
        net::HttpServerSettings settings;
        settings.port = m_port;
        m_server = std::make_unique<net::HttpServer>(
                *m_context, settings,
                [this](const auto &request, const auto &respond) { answer(request, respond); });
        EXPECT_TRUE(m_server->start());
        m_port = m_server->port();
    }

    // Ends the process; its connections end with it.
    void crash()
    {
        m_unanswered.clear();
        m_server.reset();
        m_context.reset();
    }

    void poll()
    {
        if (m_context) {
            m_context->poll();
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    Incarnation now;
    // Whether keep-alives are answered; otherwise they wait for good.
    bool answersKeepAlives = true;

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        const auto body = nlohmann::json::parse(request.body);
        const auto token = body.value("fencing_token", std::uint64_t{0});
        if (token < now.token) {
            return refuse(respond);
        }
        now.token = token;
        const auto deadline = std::chrono::milliseconds(body.value("deadline_ms", 0));
        now.leaseUntil = std::max(now.leaseUntil, std::min(deadline, now.clock + maxLease));
        now.endsForgotten = std::max(now.endsForgotten, body.value("ack_cursor", std::uint64_t{0}));
        nlohmann::json reply{{"clock_ms", now.clock.count()}};
        if (request.path == "/v1/run-start") {
            now.started.push_back(body.at("task"));
        } else if (request.path == "/v1/run-stop") {
            now.stopped.push_back(body.at("task"));
        } else if (!answersKeepAlives && body.contains("deadline_ms")) {
            return m_unanswered.push_back(respond);
        } else {
            reply["born"] = now.born;
            reply["running"] = nlohmann::json::array();
            for (const auto &task : now.started) {
                reply["running"].push_back({task, 1, "", 10});
            }
            reply["finished"] = nlohmann::json::array();
        }
        net::HttpReply answer;
        answer.body = reply.dump();
        respond(std::move(answer));
    }

    void refuse(const net::HttpResponder &respond) const
    {
        net::HttpReply answer;
        answer.status = 409;
        answer.body = nlohmann::json{{"clock_ms", now.clock.count()}, {"reason", "fence"}}.dump();
        respond(std::move(answer));
    }

    static constexpr std::chrono::milliseconds maxLease{10'000};
    std::unique_ptr<asio::io_context> m_context;
    std::uint16_t m_port = 0;
    std::vector<net::HttpResponder> m_unanswered;
    std::unique_ptr<net::HttpServer> m_server;
};

} // namespace cyclamenlatch::platform::tests
