// What callers are told over real connections: refusals, limits, slow senders, callers that go
// away, and a minion that dies in the middle of its answer.
#include "callerapi/callerapi.h"

#include "admission/keysecret.h"
#include "dispatch/tests/rawminion.h"
#include "net/workerthreads.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <condition_variable>

namespace cyclamenlatch::callerapi {
namespace {

using dispatch::testing::answer;
using dispatch::testing::fieldOf;
using dispatch::testing::RawMinion;
using dispatch::testing::readRequest;
using dispatch::testing::Socket;

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

// Opens when the test says so.
class Gate
{
public:
    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_changed.notify_all();
    }
    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_open; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_open = false;
};

// One caller on one connection.
class Caller
{
public:
    explicit Caller(std::uint16_t port)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
    }

    void send(const std::string &text) { dispatch::testing::send(m_socket, text); }
    // A whole reply, or nothing when the connection was closed without one.
    std::string readReply() { return readRequest(m_socket); }
    std::string ask(const std::string &text)
    {
        send(text);
        return readReply();
    }

private:
    asio::io_context m_context;
    Socket m_socket{m_context};
};

std::string post(const std::string &queue, const std::string &headers, const std::string &body)
{
    return fmt::format("POST /v1/queues/{}/requests HTTP/1.1\r\nHost: e\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       queue, headers, body.size(), body);
}

std::string keyHeader(const std::string &key)
{
    return fmt::format("Authorization: Bearer {}\r\n", key);
}

int statusOf(const std::string &reply)
{
    return reply.size() < 12 ? 0 : std::atoi(reply.c_str() + 9);
}

std::string bodyOf(const std::string &reply)
{
    const auto end = reply.find("\r\n\r\n");
    return end == std::string::npos ? "" : reply.substr(end + 4);
}

// A refusal with everything that callers rely on.
void expectProblem(const std::string &reply, int status, const std::string &outcome)
{
    EXPECT_EQ(statusOf(reply), status) << reply.substr(0, 400);
    EXPECT_EQ(fieldOf(reply, "Content-Type"), "application/problem+json");
    EXPECT_EQ(fieldOf(reply, "Cyclamenlatch-Outcome"), outcome);
    const auto problem = nlohmann::json::parse(bodyOf(reply), nullptr, false);
    ASSERT_TRUE(problem.is_object());
    EXPECT_EQ(problem.value("status", 0), status);
    EXPECT_EQ(problem.value("outcome", ""), outcome);
    EXPECT_NE(problem.value("type", ""), "");
    EXPECT_NE(problem.value("title", ""), "");
    EXPECT_NE(problem.value("remedy", ""), "");
}

class CallerApiTest : public ::testing::Test
{
protected:
    // Ends the connections first; nothing may run once what it uses is gone.
    ~CallerApiTest() override
    {
        if (m_server) {
            m_server->stop();
        }
        m_threads.stop();
    }

    void start(const std::string &minionAddress = "127.0.0.1:9",
               std::chrono::milliseconds readTimeout = std::chrono::seconds(30))
    {
        useFleet(minionAddress);
        net::HttpServerSettings settings;
        settings.readTimeout = readTimeout;
        m_server = std::make_unique<net::HttpServer>(
                m_threads.context(), settings,
                [this](net::HttpRequest request, net::HttpResponder respond) {
                    m_api.handle(std::move(request), std::move(respond));
                });
        ASSERT_TRUE(m_server->start());
    }

    void useFleet(const std::string &minionAddress)
    {
        fleet::FleetDocument fleet;
        fleet.services = {{ServiceId("swaps"), PoolId("swaps"), 1}};
        fleet::Queue queue;
        queue.id = QueueId("swaps");
        queue.service = ServiceId("swaps");
        fleet.queues = {queue};
        fleet.workspaces = {{WorkspaceId("drivers"), 1, 8}};
        fleet.keys = {{KeyId("k-1"), WorkspaceId("drivers"), admission::hashSecret("secret")}};
        fleet::Worker worker;
        worker.id = WorkerId("w-1");
        worker.pool = PoolId("swaps");
        worker.slots = 1;
        worker.minionAddress = minionAddress;
        fleet.workers = {worker};
        const auto document = std::make_shared<const fleet::FleetDocument>(fleet);
        m_dispatcher.setFleet(document);
        m_api.setFleet(document);
    }

    Caller connect() const { return Caller(m_server->port()); }

    void expectServing() const
    {
        EXPECT_EQ(statusOf(connect().ask("GET /readyz HTTP/1.1\r\nHost: e\r\n\r\n")), 200);
    }

    // Waits until the metrics say so; the test's own time limit bounds it.
    void awaitMetric(const std::string &line) const
    {
        auto caller = connect();
        while (caller.ask("GET /metrics HTTP/1.1\r\nHost: e\r\n\r\n").find(line + "\n")
               == std::string::npos) {
            std::this_thread::yield();
        }
    }

    net::WorkerThreads m_threads{2};
    membership::PeerBus m_peers{m_threads.context(), {}};
    dispatch::Dispatcher m_dispatcher{m_threads.context(), m_http, {}, {}, 7};
    dispatch::OutcomeService m_outcomes{m_threads.context(), m_peers, {}};
    CallerApi m_api{m_dispatcher, m_outcomes};
    std::unique_ptr<net::HttpServer> m_server;
    // Declared last, so that its completions end before what they use does.
    net::HttpClient m_http;
};

TEST_F(CallerApiTest, refusalsWithoutAGoodKeyTellNeitherKeysNorQueues)
{
    start();
    const auto missing = connect().ask(post("swaps", "", "x"));
    expectProblem(missing, 401, "not-run");
    for (const std::string key : {"", "k-1.wrong", "k-9.secret", "no-dot"}) {
        for (const std::string queue : {"swaps", "no-such-queue"}) {
            const auto headers = key.empty() ? "" : keyHeader(key);
            const auto reply = connect().ask(post(queue, headers, "x"));
            expectProblem(reply, 401, "not-run");
            EXPECT_EQ(bodyOf(reply), bodyOf(missing)) << key << " " << queue;
        }
    }
    expectProblem(connect().ask(post("no-such-queue", keyHeader("k-1.secret"), "x")), 404,
                  "not-run");
}

TEST_F(CallerApiTest, largeRequestsAreRefusedOrClosedAndTheEntryGoesOn)
{
    start();
    const auto key = keyHeader("k-1.secret");
    expectProblem(connect().ask(post("swaps", key, std::string(8 * mebibyte + 1, 'x'))), 413,
                  "not-run");
    const auto largeFields = "A: " + std::string(20000, 'a') + "\r\nB: " + std::string(20000, 'b');
    expectProblem(connect().ask(post("swaps", key + largeFields + "\r\n", "x")), 413, "not-run");
    std::string manyFields;
    for (int field = 0; field < 120; ++field) {
        manyFields += fmt::format("F-{}: 1\r\n", field);
    }
    expectProblem(connect().ask(post("swaps", key + manyFields, "x")), 413, "not-run");

    // Above what the server reads at all there is no reply.
    EXPECT_EQ(connect().ask(post("swaps", key, std::string(9 * mebibyte + 1, 'x'))), "");
    const auto hugeField = "A: " + std::string(std::size_t{65} * 1024, 'a') + "\r\n";
    EXPECT_EQ(connect().ask(post("swaps", key + hugeField, "x")), "");
    EXPECT_EQ(connect().ask(post("swaps", key + manyFields + manyFields, "x")), "");
    expectServing();
}

TEST_F(CallerApiTest, malformedRequestsAreRefusedOrClosedAndTheEntryGoesOn)
{
    start();
    const auto key = keyHeader("k-1.secret");
    const auto refused = [&](const std::string &headers) {
        expectProblem(connect().ask(post("swaps", key + headers, "x")), 400, "not-run");
    };
    refused("Request-Timeout-Ms: soon\r\n");
    refused("Request-Timeout-Ms: 0\r\n");
    refused("Idempotency-Key: not a key\r\n");
    refused("Request-Id: " + std::string(129, 'r') + "\r\n");
    expectProblem(connect().ask("GET /v1/queues/swaps/requests HTTP/1.1\r\nHost: e\r\n\r\n"), 400,
                  "not-run");

    // What is not HTTP gets no reply.
    EXPECT_EQ(connect().ask("hello\r\n\r\n"), "");
    EXPECT_EQ(connect().ask("POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n"), "");
    EXPECT_EQ(connect().ask(std::string(1000, '\0')), "");
    expectServing();
}

TEST_F(CallerApiTest, slowSendersAreClosedAtTheReadLimit)
{
    start("127.0.0.1:9", std::chrono::milliseconds(100));
    const auto request = post("swaps", keyHeader("k-1.secret"), "whole body");
    for (const auto sent : {std::size_t{10}, request.size() - 1}) {
        auto slow = connect();
        slow.send(request.substr(0, sent));
        EXPECT_EQ(slow.readReply(), "") << "after " << sent << " bytes";
    }
    expectServing();
}

TEST_F(CallerApiTest, goneCallersRequestIsDroppedOrItsOutcomeRecorded)
{
    Gate gate;
    Gate arrived;
    RawMinion minion([&](Socket &socket, int, RawMinion &self) {
        for (auto request = readRequest(socket); !request.empty(); request = readRequest(socket)) {
            self.noteRun();
            arrived.open();
            gate.wait();
            dispatch::testing::send(socket, answer(fieldOf(request, "Request-Id"), "done"));
        }
    });
    start(minion.address());
    {
        const auto request = post("swaps", keyHeader("k-1.secret"), "x");
        auto running = connect();
        running.send(request);
        arrived.wait();
        auto queued = connect();
        queued.send(request);
        awaitMetric("cyclamenlatch_requests_queued 1");
    }
    awaitMetric("cyclamenlatch_requests_total{queue=\"swaps\",outcome=\"not-run\"} 1");
    awaitMetric("cyclamenlatch_requests_queued 0");
    gate.open();
    awaitMetric("cyclamenlatch_requests_total{queue=\"swaps\",outcome=\"completed\"} 1");
    awaitMetric("cyclamenlatch_requests_in_flight 0");
    EXPECT_EQ(minion.runs(), 1);
}

TEST_F(CallerApiTest, leavingEntryFinishesOpenRequestsAndSendsNewOnesElsewhere)
{
    Gate gate;
    Gate arrived;
    RawMinion minion([&](Socket &socket, int, RawMinion &self) {
        const auto request = readRequest(socket);
        self.noteRun();
        arrived.open();
        gate.wait();
        dispatch::testing::send(socket, answer(fieldOf(request, "Request-Id"), "done"));
    });
    start(minion.address());
    const auto request = post("swaps", keyHeader("k-1.secret"), "x");
    auto open = connect();
    open.send(request);
    arrived.wait();
    m_api.setLeaving();
    m_api.setRefusing();
    const auto refused = connect().ask(request);
    expectProblem(refused, 503, "not-run");
    EXPECT_NE(fieldOf(refused, "Retry-After"), "");
    EXPECT_EQ(fieldOf(refused, "Connection"), "close");
    gate.open();
    EXPECT_EQ(bodyOf(open.readReply()), "done");
    EXPECT_EQ(minion.runs(), 1);
}

TEST_F(CallerApiTest, minionThatDiesInTheMiddleOfItsAnswerIsAnUnknownOutcome)
{
    RawMinion minion([](Socket &socket, int, RawMinion &self) {
        const auto request = readRequest(socket);
        self.noteRun();
        const auto whole = answer(fieldOf(request, "Request-Id"), std::string(1000, 'a'));
        dispatch::testing::send(socket, whole.substr(0, whole.size() - 500));
        self.reset(socket);
    });
    start(minion.address());
    const auto reply = connect().ask(post("swaps", keyHeader("k-1.secret"), "x"));
    expectProblem(reply, 502, "unknown");
    EXPECT_EQ(reply.find("aaa"), std::string::npos) << "no part of the answer is relayed";
    EXPECT_EQ(minion.runs(), 1);
}

} // namespace
} // namespace cyclamenlatch::callerapi
