// A watch of the store's keys whose connections go silent.
#include "control/keywatcher.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::control {

namespace {

using namespace std::chrono_literals;

class KeyWatcherFixture
{
public:
    KeyWatcherFixture() { watcher.start(); }

    void run() { m_context.poll(); }

    // Calls in the order in which they were sent. The list, which is the first, is answered, and
    // the watches after it are not.
    std::vector<net::HttpCall> sent;

private:
    void send(net::HttpCall call, net::LoopHttpClient::Completion completion)
    {
        sent.push_back(call);
        if (sent.size() > 1) {
            return;
        }
        net::HttpCallResult result;
        result.reply = net::HttpReply{};
        result.reply->status = 200;
        result.reply->body = R"({"items":[],"at":7})";
        asio::post(m_context, [result, completion] { completion(result); });
    }

    asio::io_context m_context;
    Metrics m_metrics;
    PlatformStoreClient m_store{
            m_context,
            [this](auto call, auto completion) { send(std::move(call), std::move(completion)); },
            "127.0.0.1:1", m_metrics};

public:
    KeyWatcher watcher{m_context, m_store, "job/", 1500ms, [](const auto &, auto, bool) {}};
};

} // namespace

// Guards against a watch that is sent anew on another silent connection when the lease of the
// ownership is renewed again, on connections of its own: the owner heard of a cancelled job 3.0 s
// after all of its connections had gone silent.
TEST(KeyWatcher, isRestartedOnANewConnection)
{
    KeyWatcherFixture fixture;
    fixture.run();
    ASSERT_EQ(fixture.sent.size(), 2U);
    EXPECT_FALSE(fixture.sent.back().freshConnection);
    fixture.watcher.restartWatch();
    ASSERT_EQ(fixture.sent.size(), 3U);
    EXPECT_TRUE(fixture.sent.back().freshConnection);
}

// A server holds the reply of a watch back while nothing changes; only silence beyond that shows
// that the connection is dead.
TEST(KeyWatcher, tellsHowLongTheReplyMayBeHeldBack)
{
    KeyWatcherFixture fixture;
    fixture.run();
    ASSERT_EQ(fixture.sent.size(), 2U);
    EXPECT_EQ(fixture.sent.back().replyDelay, 1500ms);
    EXPECT_GT(fixture.sent.back().timeout, 1500ms);
}

} // namespace cyclamenlatch::control
