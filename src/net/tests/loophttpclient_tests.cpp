// The client on its caller's event loop: connections kept, calls given up, answers cut short.
#include "net/loophttpclient.h"

#include "global/time.h"

#include <gtest/gtest.h>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenlatch::net {

namespace {

// A connection that a server of these tests has accepted. Their requests are short, so that each
// comes in one part.
struct Peer
{
    explicit Peer(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {}
    asio::ip::tcp::socket socket;
    std::array<char, 1024> bytes{};
};

// Answers every request with an empty object and counts the connections that were opened to it.
class CountingServer
{
public:
    CountingServer()
        : m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::any(), 0))
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~CountingServer()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::size_t accepted() const { return m_accepted; }
    std::size_t answered() const { return m_answered; }
    std::size_t open() const { return m_open; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &error, auto socket) {
            if (error) {
                return;
            }
            ++m_accepted;
            ++m_open;
            serve(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<Peer> &peer)
    {
        peer->socket.async_read_some(asio::buffer(peer->bytes),
                                     [this, peer](const asio::error_code &error, auto) {
                                         if (error) {
                                             --m_open;
                                             return;
                                         }
                                         static const std::string answer =
                                                 "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
                                                 + std::string(5000, ' ');
                                         ++m_answered;
                                         asio::error_code failed;
                                         asio::write(peer->socket, asio::buffer(answer), failed);
                                         serve(peer);
                                     });
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_accepted = 0;
    std::atomic<std::size_t> m_answered = 0;
    std::atomic<std::size_t> m_open = 0;
    std::thread m_thread;
};

// Hosts of a large fleet, each at an address of its own on loopback.
std::string urlOfHost(std::size_t host, std::uint16_t port)
{
    return "http://127.1." + std::to_string(host / 250) + "." + std::to_string(host % 250 + 1) + ":"
           + std::to_string(port) + "/order";
}

} // namespace

// fqcc-berth-large, quiet-1: 48,481 new connections for 53,573 calls to 1,100 targets, since the
// client kept 1,024 connections in all.
TEST(LoopHttpClient, keepsAConnectionToEachHostOfALargeFleet)
{
    constexpr std::size_t hosts = 1100;
    constexpr std::size_t rounds = 3;
    CountingServer server;
    asio::io_context context;
    HttpClientSettings settings;
    settings.maxConnectionsPerHost = 4;
    settings.maxKeptConnections = 2 * hosts;
    settings.receiveBufferBytes = 2048;
    LoopHttpClient client(context, settings);
    for (std::size_t round = 0; round < rounds; ++round) {
        std::size_t answers = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            HttpCall call;
            call.method = "POST";
            call.url = urlOfHost(host, server.port());
            call.body = "{}";
            call.timeout = std::chrono::seconds(20);
            client.send(std::move(call), [&](const HttpCallResult &result) {
                EXPECT_TRUE(result.reply) << result.failure;
                ++answers;
            });
        }
        while (answers < hosts) {
            context.run_one();
        }
    }
    EXPECT_EQ(server.accepted(), hosts);
}

// ONE on a trial day without fences: an order that a partition had held up arrived 5 s after its
// holder had given it up and lost its lease.
TEST(LoopHttpClient, resetsTheConnectionOfACallThatItGivesUp)
{
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor(serverContext,
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::optional<asio::error_code> ended;
    std::thread server([&] {
        auto socket = acceptor.accept();
        std::array<char, 1024> bytes{};
        asio::error_code error;
        while (!error) {
            socket.read_some(asio::buffer(bytes), error);
        }
        ended = error;
    });
    asio::io_context context;
    {
        LoopHttpClient client(context, HttpClientSettings{});
        HttpCall call;
        call.method = "POST";
        call.url =
                "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/order";
        call.body = "{}";
        call.timeout = std::chrono::milliseconds(100);
        bool isDone = false;
        client.send(std::move(call), [&](const HttpCallResult &) { isDone = true; });
        while (!isDone) {
            context.run_one();
        }
    }
    server.join();
    EXPECT_EQ(ended, asio::error::connection_reset);
}

// Hosts of a fleet move and come back under other addresses all day: what was kept open to them
// must not use up the entry's descriptors.
TEST(LoopHttpClient, closesConnectionsThatCarriedNothingForLong)
{
    using namespace std::chrono_literals;
    CountingServer server;
    asio::io_context context;
    HttpClientSettings settings;
    settings.maxIdleTime = 200ms;
    LoopHttpClient client(context, settings);
    constexpr std::size_t hosts = 20;
    std::size_t answers = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        HttpCall call;
        call.url = urlOfHost(host, server.port());
        client.send(std::move(call), [&](const HttpCallResult &) { ++answers; });
    }
    while (answers < hosts) {
        context.run_one();
    }
    EXPECT_EQ(server.open(), hosts);
    const auto end = steadyNow() + 5s;
    while (server.open() > 0 && steadyNow() < end) {
        context.run_one_for(50ms);
    }
    EXPECT_EQ(server.open(), 0U);
}

// An owner's order waits for a connection while the owner's lease runs out.
TEST(LoopHttpClient, writesNothingOfACallWhosePermissionRanOutWhileItWaited)
{
    CountingServer server;
    asio::io_context context;
    LoopHttpClient client(context, HttpClientSettings{});
    HttpCall call;
    call.method = "POST";
    call.url = urlOfHost(0, server.port());
    call.body = "{}";
    bool isPermitted = true;
    call.isPermitted = [&] { return isPermitted; };
    std::optional<HttpCallResult> answer;
    client.send(std::move(call), [&](HttpCallResult result) { answer = std::move(result); });
    // The connection is not made before the context runs.
    isPermitted = false;
    while (!answer) {
        context.run_one();
    }
    EXPECT_FALSE(answer->reply);
    EXPECT_EQ(answer->sendState, SendState::NotSent);
    EXPECT_EQ(server.answered(), 0U);
}

// A list of a megabyte takes seconds on a thin link, and is given up only when it stands still.
TEST(LoopHttpClient, givesUpACallThatReceivesNothingAndNotOneThatReceivesSlowly)
{
    using namespace std::chrono_literals;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string port = std::to_string(acceptor.local_endpoint().port());
    // Sends a byte of the body each 200 ms, and stops after as many as it is told.
    const auto serve = [&](int bytes) {
        return std::thread([&acceptor, bytes] {
            auto socket = acceptor.accept();
            std::array<char, 1024> request{};
            asio::error_code error;
            socket.read_some(asio::buffer(request), error);
            asio::write(socket,
                        asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")),
                        error);
            for (int sent = 0; sent < bytes && !error; ++sent) {
                std::this_thread::sleep_for(200ms);
                asio::write(socket, asio::buffer("x", 1), error);
            }
            socket.read_some(asio::buffer(request), error);
        });
    };
    LoopHttpClient client(context, HttpClientSettings{});
    for (const int bytes : {10, 3}) {
        auto server = serve(bytes);
        HttpCall call;
        call.url = "http://127.0.0.1:" + port + "/list";
        call.idleTimeout = 1500ms;
        call.timeout = 20s;
        call.freshConnection = true;
        std::optional<HttpCallResult> answer;
        client.send(std::move(call), [&](HttpCallResult result) { answer = std::move(result); });
        while (!answer) {
            context.run_one();
        }
        EXPECT_EQ(answer->reply.has_value(), bytes == 10) << answer->failure;
        server.join();
    }
}

namespace {

// A process behind an address, which names itself in each answer and keeps the bodies it receives.
// Answering on its own context, it can be ended together with its connections.
class NamedProcess
{
public:
    NamedProcess(std::int64_t name, std::uint16_t port)
        : m_name(name)
        , m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port))
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void poll() { m_context.poll(); }

    std::vector<std::string> received;
    std::size_t accepted = 0;
    // Number of requests that are left unanswered from now on.
    int unanswered = 0;
    // Answers without a name and closes the connection after each answer, respectively.
    bool isAnonymous = false;
    bool closesConnections = false;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &error, auto socket) {
            if (!error) {
                ++accepted;
                serve(std::make_shared<Peer>(std::move(socket)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Peer> &peer)
    {
        peer->socket.async_read_some(
                asio::buffer(peer->bytes), [this, peer](const asio::error_code &error, auto size) {
                    if (error) {
                        return;
                    }
                    const std::string request(peer->bytes.data(), size);
                    received.push_back(request.substr(request.find("\r\n\r\n") + 4));
                    if (unanswered > 0) {
                        --unanswered;
                        return serve(peer);
                    }
                    const auto body = isAnonymous ? std::string("0") : std::to_string(m_name);
                    std::string answer = "HTTP/1.1 200 OK\r\n";
                    answer += closesConnections ? "Connection: close\r\n" : "";
                    answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                    asio::error_code failed;
                    asio::write(peer->socket, asio::buffer(answer), failed);
                    if (!closesConnections) {
                        serve(peer);
                    }
                });
    }

    asio::io_context m_context;
    const std::int64_t m_name;
    asio::ip::tcp::acceptor m_acceptor;
};

class PeerCheckFixture
{
public:
    PeerCheckFixture()
        : process(std::make_unique<NamedProcess>(1, 0))
        , m_port(process->port())
    {}

    // Sends a call for the process of this name, 0 for any, and waits for its result.
    HttpCallResult send(std::int64_t expected, const std::string &body)
    {
        return wait(begin(expected, body));
    }

    std::shared_ptr<std::optional<HttpCallResult>> begin(
            std::int64_t expected, const std::string &body,
            std::chrono::milliseconds timeout = std::chrono::seconds(5))
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(m_port) + "/order";
        call.body = body;
        call.timeout = timeout;
        call.peerCheck = PeerCheck{expected, "/name", "name", std::chrono::milliseconds(20),
                                   [](const HttpReply &reply) {
                                       return static_cast<std::int64_t>(std::stoll(reply.body));
                                   }};
        auto result = std::make_shared<std::optional<HttpCallResult>>();
        m_client.send(std::move(call), [result](auto answer) { *result = std::move(answer); });
        return result;
    }

    HttpCallResult wait(const std::shared_ptr<std::optional<HttpCallResult>> &result)
    {
        const auto end = steadyNow() + std::chrono::seconds(10);
        while (!*result && steadyNow() < end) {
            m_context.run_one_for(std::chrono::milliseconds(1));
            process->poll();
        }
        EXPECT_TRUE(result->has_value());
        return result->value_or(HttpCallResult{});
    }

    // The process ends with its connections, and another one takes its address.
    void replaceProcess(std::int64_t name)
    {
        process.reset();
        process = std::make_unique<NamedProcess>(name, m_port);
    }

    std::unique_ptr<NamedProcess> process;

private:
    const std::uint16_t m_port;
    asio::io_context m_context;
    LoopHttpClient m_client{m_context, [] {
                                HttpClientSettings settings;
                                settings.maxConnectionsPerHost = 2;
                                return settings;
                            }()};
};

using Bodies = std::vector<std::string>;

} // namespace

// TWICE on fqcc-berth: a start that was meant for an earlier incarnation of a target reached the
// next one, over a connection that was made while the target restarted.
TEST(LoopHttpClientPeerCheck, writesNoCallToAnotherProcessThanTheOneItIsFor)
{
    PeerCheckFixture fixture;
    EXPECT_TRUE(fixture.send(1, "first").reply);
    EXPECT_EQ(fixture.process->received, (Bodies{"name", "first"}));
    fixture.replaceProcess(2);
    // The connection ends under one call or before it; the next call finds a new one.
    fixture.send(1, "second");
    const auto result = fixture.send(1, "third");
    EXPECT_FALSE(result.reply);
    EXPECT_EQ(result.sendState, SendState::NotSent);
    ASSERT_TRUE(result.peerReply);
    EXPECT_EQ(result.peerReply->body, "2");
    for (const auto &body : fixture.process->received) {
        EXPECT_EQ(body, "name");
    }
}

// A call for any process learns the name from its own reply, so that it costs no call of its own.
TEST(LoopHttpClientPeerCheck, asksForTheNameOnceAConnection)
{
    PeerCheckFixture fixture;
    EXPECT_TRUE(fixture.send(0, "any").reply);
    EXPECT_TRUE(fixture.send(1, "first").reply);
    EXPECT_TRUE(fixture.send(1, "second").reply);
    EXPECT_EQ(fixture.process->received, (Bodies{"any", "first", "second"}));
    EXPECT_EQ(fixture.process->accepted, 1U);
}

// Calls that wait for a connection get one to the process that they are for.
TEST(LoopHttpClientPeerCheck, givesEachWaitingCallAConnectionToItsOwnProcess)
{
    PeerCheckFixture fixture;
    constexpr int calls = 12;
    std::vector<std::shared_ptr<std::optional<HttpCallResult>>> results;
    results.reserve(calls);
    for (int call = 0; call < calls; ++call) {
        results.push_back(fixture.begin(call % 3 == 2 ? 7 : 1, "order"));
    }
    for (std::size_t call = 0; call < results.size(); ++call) {
        const auto result = fixture.wait(results[call]);
        EXPECT_EQ(result.reply.has_value(), call % 3 != 2) << result.failure;
        EXPECT_EQ(result.peerReply.has_value(), call % 3 == 2);
    }
    EXPECT_EQ(
            std::count(fixture.process->received.begin(), fixture.process->received.end(), "order"),
            8);
}

// A call is not sent either to a process that does not name itself, or whose connection ends with
// its name.
TEST(LoopHttpClientPeerCheck, writesNoCallWithoutANamedConnection)
{
    PeerCheckFixture fixture;
    fixture.process->isAnonymous = true;
    const auto anonymous = fixture.send(1, "order");
    EXPECT_EQ(anonymous.sendState, SendState::NotSent);
    EXPECT_TRUE(anonymous.peerReply);
    fixture.process->isAnonymous = false;
    fixture.process->closesConnections = true;
    const auto closed = fixture.send(1, "order");
    EXPECT_EQ(closed.sendState, SendState::NotSent);
    EXPECT_FALSE(closed.peerReply);
    EXPECT_EQ(fixture.process->received, (Bodies{"name", "name"}));
}

// Guards against work that stands still while answers are lost: a request for the name has no
// effect, so it is sent again soon, and the call gets its whole time afterwards.
TEST(LoopHttpClientPeerCheck, asksAgainForANameThatWasNotAnswered)
{
    PeerCheckFixture fixture;
    fixture.process->unanswered = 3;
    const auto result = fixture.send(1, "order");
    EXPECT_TRUE(result.reply) << result.failure;
    EXPECT_EQ(fixture.process->received, (Bodies{"name", "name", "name", "name", "order"}));
}

TEST(LoopHttpClientPeerCheck, givesUpACallWhosePeerNeverNamesItself)
{
    PeerCheckFixture fixture;
    fixture.process->unanswered = 1000;
    const auto lost = fixture.begin(1, "order", std::chrono::milliseconds(300));
    EXPECT_EQ(fixture.wait(lost).sendState, SendState::NotSent);
    EXPECT_GT(fixture.process->received.size(), 1U);
    for (const auto &body : fixture.process->received) {
        EXPECT_EQ(body, "name");
    }
}

} // namespace cyclamenlatch::net
