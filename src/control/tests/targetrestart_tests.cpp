// Orders that are on their way while their target restarts under its id and address: the core, the
// codec and the client against a target on loopback.
#include "net/httpserver.h"
#include "net/loophttpclient.h"
#include "platform/targetcodec.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::control {

namespace {

using namespace std::chrono_literals;
using scheduling::KeepAliveOrder;
using scheduling::OrderResult;
using scheduling::StartOrder;
using scheduling::StopOrder;

// One incarnation of a target, which holds what it has been told.
struct Incarnation
{
    std::int64_t born = 0;
    std::chrono::milliseconds clock{};
    std::chrono::milliseconds leaseUntil{};
    std::uint64_t endsForgotten = 0;
    std::vector<std::string> started;
    std::vector<std::string> stopped;
};

// A target that accepts what it is told, as the users' targets do, whichever incarnation it was
// meant for.
class RestartingTarget
{
public:
    RestartingTarget() { start({1000, 5'000'000ms}); }

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

    static constexpr std::chrono::milliseconds maxLease{10'000};
    std::unique_ptr<asio::io_context> m_context;
    std::uint16_t m_port = 0;
    std::vector<net::HttpResponder> m_unanswered;
    std::unique_ptr<net::HttpServer> m_server;
};

class TargetRestartFixture : public scheduling::tests::OwnerFixture
{
public:
    TargetRestartFixture()
    {
        scheduling::TargetInfo info;
        info.id = "t1";
        info.service = service;
        info.address = target.address();
        info.capacity = scheduling::Resources{16000, 64000, 0};
        core.targetListed(info, now);
        core.targetRecorded("t1");
        EXPECT_TRUE(keepAlive());
    }

    ~TargetRestartFixture() { m_client.reset(); }
    TargetRestartFixture(const TargetRestartFixture &) = delete;
    TargetRestartFixture &operator=(const TargetRestartFixture &) = delete;

    std::shared_ptr<std::optional<net::HttpCallResult>> send(net::HttpCall call)
    {
        call.timeout = 5s;
        auto result = std::make_shared<std::optional<net::HttpCallResult>>();
        m_client->send(std::move(call), [result](auto answer) { *result = std::move(answer); });
        return result;
    }

    net::HttpCallResult wait(const std::shared_ptr<std::optional<net::HttpCallResult>> &result)
    {
        EXPECT_TRUE(runUntil([&] { return result->has_value(); }));
        return result->value_or(net::HttpCallResult{});
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(1ms);
            target.poll();
        }
        return isDone();
    }

    net::HttpCall keepAliveCall(const KeepAliveOrder &order) const
    {
        return platform::keepAliveCall(*core.target("t1"), term, order);
    }

    // Sends the next keep-alive and handles its answer; returns whether there was one.
    bool keepAlive()
    {
        const auto order = core.keepAliveOrder("t1", now);
        const auto reply = platform::decodeKeepAliveReply(wait(send(keepAliveCall(*order))));
        if (!reply.report) {
            core.keepAliveFailed("t1", now);
            return false;
        }
        core.keepAliveAnswered("t1", *reply.report, now, now);
        return true;
    }

    OrderResult sendStart(const StartOrder &order)
    {
        const auto result = platform::decodeOrderReply(
                wait(send(platform::startCall(*core.target("t1"), term, order, "text"))));
        core.startAnswered(order, result, now);
        return result;
    }

    OrderResult sendStop(const StopOrder &order)
    {
        return platform::decodeOrderReply(
                wait(send(platform::stopCall(*core.target("t1"), term, order))));
    }

    // The target restarts with another clock, and its open connections end. The owner learns of
    // that with its next call.
    void restartTarget()
    {
        target.answersKeepAlives = false;
        const auto waiting = send(keepAliveCall(*core.keepAliveOrder("t1", now)));
        EXPECT_TRUE(runUntil([&] { return target.now.leaseUntil > target.now.clock + 4s; }));
        target.crash();
        EXPECT_FALSE(wait(waiting).reply);
        target.answersKeepAlives = true;
        target.start({2000, 4'000'000ms});
    }

private:
    asio::io_context m_context;
    std::unique_ptr<net::LoopHttpClient> m_client =
            std::make_unique<net::LoopHttpClient>(m_context, net::HttpClientSettings{});

public:
    static constexpr std::uint64_t term = 1;
    RestartingTarget target;
};

} // namespace

// Guards against a task that runs twice: a start for an earlier incarnation gave the next one a
// lease of 10 s, and the owner, which counted on 4.5 s, started the task elsewhere meanwhile.
TEST(TargetRestart, startForAnEarlierIncarnationNeitherRunsNorGrantsALease)
{
    TargetRestartFixture fixture;
    fixture.submit(7, {scheduling::tests::makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    fixture.restartTarget();
    EXPECT_NE(fixture.sendStart(starts[0]), OrderResult::Accepted);
    EXPECT_TRUE(fixture.target.now.started.empty());
    EXPECT_EQ(fixture.target.now.leaseUntil, 0ms);
}

// Guards against a task that runs twice: the lease of a keep-alive ends on the earlier clock.
TEST(TargetRestart, keepAliveForAnEarlierIncarnationGrantsNoLease)
{
    TargetRestartFixture fixture;
    const auto order = fixture.core.keepAliveOrder("t1", fixture.now);
    ASSERT_GT(order->leaseUntil, 0ms);
    fixture.restartTarget();
    fixture.wait(fixture.send(fixture.keepAliveCall(*order)));
    EXPECT_EQ(fixture.target.now.leaseUntil, 0ms);
}

// Guards against ends that nobody has read: the numbers of ends start anew in each incarnation, so
// the number that an earlier one may forget would make the next one forget its first ends.
TEST(TargetRestart, keepAliveForAnEarlierIncarnationForgetsNoEnds)
{
    for (const bool isLeaseGranted : {true, false}) {
        TargetRestartFixture fixture;
        KeepAliveOrder order = *fixture.core.keepAliveOrder("t1", fixture.now);
        order.endsRecorded = 57;
        order.leaseUntil = isLeaseGranted ? order.leaseUntil : 0ms;
        fixture.restartTarget();
        fixture.wait(fixture.send(fixture.keepAliveCall(order)));
        EXPECT_EQ(fixture.target.now.endsForgotten, 0U);
    }
}

// A stop for an earlier incarnation must not make the next one refuse an attempt.
TEST(TargetRestart, stopForAnEarlierIncarnationIsNotSent)
{
    TargetRestartFixture fixture;
    fixture.submit(7, {scheduling::tests::makeStep(1)});
    ASSERT_EQ(fixture.sendStarts().size(), 1U);
    fixture.core.jobCancelled(7, fixture.now);
    const auto stops = fixture.planned<StopOrder>();
    ASSERT_EQ(stops.size(), 1U);
    fixture.restartTarget();
    EXPECT_NE(fixture.sendStop(stops[0]), OrderResult::Accepted);
    EXPECT_TRUE(fixture.target.now.stopped.empty());
}

// The new incarnation is noticed with the next keep-alive, and gets work under leases of its clock.
TEST(TargetRestart, nextIncarnationGetsWorkUnderALeaseOnItsOwnClock)
{
    TargetRestartFixture fixture;
    fixture.submit(7, {scheduling::tests::makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    fixture.restartTarget();
    fixture.sendStart(starts[0]);
    ASSERT_TRUE(fixture.keepAlive());
    fixture.advance(1s);
    std::vector<StartOrder> next;
    for (int round = 0; round < 5 && next.empty(); ++round) {
        next = fixture.sendStarts();
    }
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(fixture.sendStart(next[0]), OrderResult::Accepted);
    EXPECT_EQ(fixture.target.now.started.size(), 1U);
    EXPECT_LE(fixture.target.now.leaseUntil, fixture.target.now.clock + 6s);
}

} // namespace cyclamenlatch::control
