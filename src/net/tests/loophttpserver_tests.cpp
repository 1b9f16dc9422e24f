// A server that bounds what callers make it hold.
#include "net/loophttpserver.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::net {
namespace {

class LoopHttpServerTest : public testing::Test
{
protected:
    LoopHttpServerTest()
    {
        limits.maxBodyBytes = 1000;
        limits.maxHeadBytes = 2000;
        limits.maxHeldBytes = 20000;
        limits.maxConnections = 20;
    }

    void start()
    {
        server.emplace(context, "127.0.0.1", std::uint16_t{0}, limits,
                       [this](HttpRequest request, const HttpResponder &respond) {
                           requests.push_back(std::move(request));
                           if (isHolding) {
                               held.push_back(respond);
                               return;
                           }
                           HttpReply reply;
                           reply.body = requests.back().body;
                           respond(std::move(reply));
                       });
        ASSERT_TRUE(server->start());
    }

    asio::ip::tcp::socket &connect()
    {
        auto &socket =
                *sockets.emplace_back(std::make_unique<asio::ip::tcp::socket>(clientContext));
        socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
        run();
        return socket;
    }

    void send(asio::ip::tcp::socket &socket, const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        run();
    }

    // Lets the server do all that it can do now.
    void run()
    {
        for (int calm = 0; calm < 3;) {
            calm = context.poll() == 0 ? calm + 1 : 0;
            context.restart();
        }
    }

    // All that has come so far.
    static std::string received(asio::ip::tcp::socket &socket)
    {
        std::string text;
        asio::error_code error;
        socket.non_blocking(true);
        char buffer[4096];
        while (!error) {
            const auto size = socket.read_some(asio::buffer(buffer), error);
            text.append(buffer, size);
        }
        return text;
    }

    static bool isStatus(const std::string &reply, int status)
    {
        return reply.find(fmt::format("HTTP/1.1 {} ", status)) == 0;
    }

    static std::string chunk(const std::string &text)
    {
        return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
    }

    std::uint64_t refused(IntakeRefusal refusal) const
    {
        return server->statistics().refused[static_cast<std::size_t>(refusal)];
    }

    static constexpr const char *chunkedHead =
            "POST /q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

    asio::io_context context;
    asio::io_context clientContext;
    IntakeLimits limits;
    bool isHolding = false;
    std::vector<HttpRequest> requests;
    std::vector<HttpResponder> held;
    std::optional<LoopHttpServer> server;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets;
};

TEST_F(LoopHttpServerTest, answersRequestsOneAfterTheOtherAndKeepsTheConnection)
{
    start();
    auto &socket = connect();
    send(socket, "POST /a?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
                 "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(requests[0].path, "/a");
    EXPECT_EQ(requests[0].query, "x=1");
    EXPECT_EQ(requests[0].body, "hi");
    EXPECT_EQ(requests[0].headers.find("host"), "h");
    EXPECT_EQ(requests[1].method, "GET");
    EXPECT_EQ(server->statistics().heldBytes, 0U);
    send(socket, "GET /c HTTP/1.0\r\n\r\n");
    EXPECT_EQ(requests.size(), 3U);
    EXPECT_NE(received(socket).find("Connection: close"), std::string::npos);
}

TEST_F(LoopHttpServerTest, refusesABodyByItsAnnouncedLength)
{
    start();
    auto &socket = connect();
    send(socket, "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
    EXPECT_TRUE(isStatus(received(socket), 413));
    EXPECT_EQ(refused(IntakeRefusal::Body), 1U);
    EXPECT_TRUE(requests.empty());
}

TEST_F(LoopHttpServerTest, refusesABodyThatGrowsBeyondTheLimit)
{
    start();
    auto &socket = connect();
    send(socket, std::string(chunkedHead) + chunk(std::string(600, 'x')));
    EXPECT_EQ(received(socket), "");
    send(socket, chunk(std::string(401, 'x')));
    EXPECT_TRUE(isStatus(received(socket), 413));
    EXPECT_EQ(server->statistics().heldBytes, 0U);
}

TEST_F(LoopHttpServerTest, takesABodyOfJustTheLimit)
{
    start();
    auto &socket = connect();
    send(socket, std::string(chunkedHead) + chunk(std::string(1000, 'x')) + "0\r\n\r\n");
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].body.size(), 1000U);
}

TEST_F(LoopHttpServerTest, refusesLongHeads)
{
    start();
    auto &socket = connect();
    send(socket, "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    EXPECT_TRUE(isStatus(received(socket), 431));
    auto &other = connect();
    std::string fields;
    for (int field = 0; field < 40; ++field) {
        fields += "a: b\r\n";
    }
    send(other, "GET / HTTP/1.1\r\n" + fields);
    EXPECT_TRUE(isStatus(received(other), 431));
}

// Load pattern: bodies that stop short of their end fill what the server may hold.
TEST_F(LoopHttpServerTest, refusesTheUnfinishedRequestThatBeganFirstWhenTooMuchIsHeld)
{
    start();
    for (int caller = 0; caller < 19; ++caller) {
        send(connect(), std::string(chunkedHead) + chunk(std::string(900, 'x')));
    }
    EXPECT_LE(server->statistics().heldBytes, limits.maxHeldBytes);
    EXPECT_GT(refused(IntakeRefusal::HeldBytes), 0U);
    const auto reply = received(*sockets.front());
    EXPECT_TRUE(isStatus(reply, 503));
    EXPECT_NE(reply.find("Retry-After: "), std::string::npos);
    EXPECT_NE(reply.find("has not run"), std::string::npos);
    EXPECT_EQ(received(*sockets.back()), "");
    // An ordinary request beside them.
    auto &socket = connect();
    send(socket, "POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n" + std::string(500, 'x'));
    EXPECT_TRUE(isStatus(received(socket), 200));
}

TEST_F(LoopHttpServerTest, countsRequestsThatAreNotAnsweredYet)
{
    isHolding = true;
    start();
    for (int caller = 0; caller < 19; ++caller) {
        send(connect(), "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'));
    }
    EXPECT_LE(server->statistics().heldBytes, limits.maxHeldBytes);
    EXPECT_LT(requests.size(), 19U);
    EXPECT_TRUE(isStatus(received(*sockets.back()), 503));
    for (const auto &respond : held) {
        respond(HttpReply{});
    }
    run();
    EXPECT_EQ(server->statistics().heldBytes, 0U);
    EXPECT_TRUE(isStatus(received(*sockets.front()), 200));
}

TEST_F(LoopHttpServerTest, closesIdleConnectionsForNewOnes)
{
    start();
    for (int caller = 0; caller < 60; ++caller) {
        connect();
    }
    EXPECT_LE(server->statistics().connections, limits.maxConnections);
    send(*sockets.back(), "GET / HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(isStatus(received(*sockets.back()), 200));
}

TEST_F(LoopHttpServerTest, readsNoFurtherRequestWhileOneIsNotAnswered)
{
    isHolding = true;
    start();
    std::string ahead;
    for (int number = 0; number < 500; ++number) {
        ahead += "GET / HTTP/1.1\r\n\r\n";
    }
    send(connect(), ahead);
    EXPECT_EQ(requests.size(), 1U);
    EXPECT_LE(server->statistics().heldBytes, limits.maxHeldBytes);
}

TEST_F(LoopHttpServerTest, letsAnAnswerComeAfterItsCallerOrItsServerIsGone)
{
    isHolding = true;
    start();
    send(connect(), "GET / HTTP/1.1\r\n\r\n");
    send(connect(), "GET / HTTP/1.1\r\n\r\n");
    ASSERT_EQ(held.size(), 2U);
    sockets.front()->close();
    held.front()(HttpReply{});
    run();
    server.reset();
    held.back()(HttpReply{});
    run();
}

// Whatever the pieces are in which a request comes, it is read the same.
TEST_F(LoopHttpServerTest, readsRequestsInOddPieces)
{
    start();
    pcg32 random(1);
    for (int round = 0; round < 50; ++round) {
        std::string body;
        std::string wire = chunkedHead;
        for (auto parts = random(20); parts > 0; --parts) {
            const std::string part(1 + random(40), static_cast<char>('a' + random(26)));
            body += part;
            wire += chunk(part);
        }
        wire += "0\r\nTrailer: x\r\n\r\n";
        auto &socket = connect();
        for (std::size_t at = 0; at < wire.size();) {
            const auto size = std::min<std::size_t>(1 + random(30), wire.size() - at);
            send(socket, wire.substr(at, size));
            at += size;
        }
        ASSERT_EQ(requests.size(), static_cast<std::size_t>(round) + 1);
        EXPECT_EQ(requests.back().body, body);
        EXPECT_EQ(server->statistics().heldBytes, 0U);
    }
}

// Whatever callers send, the server holds no more than it may, and goes on.
TEST_F(LoopHttpServerTest, staysWithinItsLimitsWhateverComes)
{
    start();
    pcg32 random(1);
    for (int round = 0; round < 300; ++round) {
        std::string bytes;
        switch (random(4)) {
        case 0:
            bytes = std::string(chunkedHead) + chunk(std::string(random(1200), 'x'));
            break;
        case 1:
            bytes = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(random(2000))
                    + "\r\n\r\n" + std::string(random(1000), 'x');
            break;
        case 2:
            for (auto size = random(300); size > 0; --size) {
                bytes += static_cast<char>(random(256));
            }
            break;
        default:
            bytes = "GET / HT";
            break;
        }
        send(connect(), bytes);
        EXPECT_LE(server->statistics().heldBytes, limits.maxHeldBytes);
        EXPECT_LE(server->statistics().connections, limits.maxConnections);
    }
    auto &socket = connect();
    send(socket, "GET / HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(isStatus(received(socket), 200));
}

} // namespace
} // namespace cyclamenlatch::net
