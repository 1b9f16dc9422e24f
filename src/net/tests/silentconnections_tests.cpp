// Connections that go silent without a reset, while new ones to the same host work.
#include "net/loophttpclient.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::net {

namespace {

using namespace std::chrono_literals;

// A server and its client on one event loop. Requests for /quiet are never answered, others at
// once unless their connection has been silenced.
class SilentConnectionsFixture
{
public:
    SilentConnectionsFixture()
        : m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    ~SilentConnectionsFixture() { m_client.reset(); }
    SilentConnectionsFixture(const SilentConnectionsFixture &) = delete;
    SilentConnectionsFixture &operator=(const SilentConnectionsFixture &) = delete;

    using Answer = std::shared_ptr<std::optional<HttpCallResult>>;

    Answer begin(const std::string &path, std::chrono::milliseconds timeout = 10s,
                 std::chrono::milliseconds replyDelay = 0ms, std::int64_t expectedPeer = 0,
                 bool onNewConnection = false)
    {
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + path;
        call.timeout = timeout;
        call.replyDelay = replyDelay;
        call.freshConnection = onNewConnection;
        if (expectedPeer != 0) {
            call.peerCheck =
                    PeerCheck{expectedPeer, "/name", {}, 200ms, [expectedPeer](const auto &) {
                                  return expectedPeer;
                              }};
        }
        auto answer = std::make_shared<std::optional<HttpCallResult>>();
        m_client->send(std::move(call), [answer](auto result) { *answer = std::move(result); });
        return answer;
    }

    HttpCallResult wait(const Answer &answer)
    {
        while (!*answer) {
            m_context.run_one();
        }
        return **answer;
    }

    // Leaves this many idle connections behind.
    void openIdle(std::size_t count)
    {
        std::vector<Answer> answers;
        for (std::size_t number = 0; number < count; ++number) {
            answers.push_back(begin("/"));
        }
        for (const auto &answer : answers) {
            EXPECT_TRUE(wait(answer).reply);
        }
        EXPECT_EQ(accepted(), count);
    }

    // No connection that is open now answers any more, and none is reset.
    void silenceAll() { m_silenced = m_sockets.size(); }

    std::size_t accepted() const { return m_sockets.size(); }

private:
    using Socket = asio::ip::tcp::socket;

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &error, auto accepted) {
            if (!error) {
                m_sockets.push_back(std::make_unique<Socket>(std::move(accepted)));
                serve(m_sockets.size() - 1);
                accept();
            }
        });
    }

    void serve(std::size_t number)
    {
        auto bytes = std::make_shared<std::array<char, 1024>>();
        m_sockets[number]->async_read_some(
                asio::buffer(*bytes),
                [this, number, bytes](const asio::error_code &error, std::size_t size) {
                    if (error) {
                        return;
                    }
                    const std::string request(bytes->data(), size);
                    if (number >= m_silenced && request.find("/quiet") == std::string::npos) {
                        asio::error_code ignored;
                        asio::write(*m_sockets[number],
                                    asio::buffer(std::string(
                                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                                    ignored);
                    }
                    serve(number);
                });
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::unique_ptr<Socket>> m_sockets;
    std::size_t m_silenced = 0;
    std::unique_ptr<LoopHttpClient> m_client =
            std::make_unique<LoopHttpClient>(m_context, HttpClientSettings{});
};

} // namespace

// Guards against a watch that tries one silent connection after the other: an owner started tasks
// of a cancelled job for 4.9 s, and an entry did not hear of a new configuration for 6.5 s.
TEST(SilentConnections, costOneTimeoutHoweverManyAreIdle)
{
    SilentConnectionsFixture fixture;
    fixture.openIdle(8);
    fixture.silenceAll();
    EXPECT_FALSE(fixture.wait(fixture.begin("/watch", 100ms, 50ms)).reply);
    EXPECT_TRUE(fixture.wait(fixture.begin("/watch", 2s)).reply);
    EXPECT_EQ(fixture.accepted(), 9U);
}

// The same for the connections to a minion, on which a call asks for the peer's name first.
TEST(SilentConnections, costOneTimeoutWhereThePeerIsAskedForItsName)
{
    SilentConnectionsFixture fixture;
    fixture.openIdle(8);
    fixture.silenceAll();
    EXPECT_TRUE(fixture.wait(fixture.begin("/order", 1500ms, 0ms, 7)).reply);
    EXPECT_EQ(fixture.accepted(), 9U);
}

// Guards against a call that needs a new connection and waits behind idle ones.
TEST(SilentConnections, giveTheirPlaceToACallThatNeedsANewOne)
{
    SilentConnectionsFixture fixture;
    fixture.openIdle(HttpClientSettings{}.maxConnectionsPerHost);
    fixture.silenceAll();
    EXPECT_TRUE(fixture.wait(fixture.begin("/watch", 2s, 0ms, 0, true)).reply);
}

// Guards against a server that answers late, or loses one reply, being taken for a dead one: each
// of its connections would be opened anew with every timeout.
TEST(SilentConnections, spareThoseThatWereHeardSinceTheReplyWasDue)
{
    SilentConnectionsFixture fixture;
    const auto quiet = fixture.begin("/quiet", 300ms);
    EXPECT_TRUE(fixture.wait(fixture.begin("/")).reply);
    EXPECT_FALSE(fixture.wait(quiet).reply);
    EXPECT_TRUE(fixture.wait(fixture.begin("/")).reply);
    EXPECT_EQ(fixture.accepted(), 2U);
}

// A watch may be silent for as long as nothing changes. A connection that was heard meanwhile may
// have gone silent since then.
TEST(SilentConnections, doNotSpareThoseThatWereHeardOnlyWhileAWatchWaited)
{
    SilentConnectionsFixture fixture;
    const auto watch = fixture.begin("/quiet", 400ms, 300ms);
    EXPECT_TRUE(fixture.wait(fixture.begin("/")).reply);
    fixture.silenceAll();
    EXPECT_FALSE(fixture.wait(watch).reply);
    EXPECT_TRUE(fixture.wait(fixture.begin("/", 2s)).reply);
    EXPECT_EQ(fixture.accepted(), 3U);
}

} // namespace cyclamenlatch::net
