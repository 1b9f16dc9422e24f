// A complete entry with a store that leaves some calls unanswered.
#include "control/platformentry.h"
#include "net/httpclient.h"
#include "platform/tests/hangingstore.h"
#include "platform/tests/latestore.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace cyclamenlatch::control {

namespace {

std::uint16_t freePort()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

platform::EntrySettings makeSettings(std::uint16_t storePort)
{
    platform::EntrySettings settings;
    settings.name = "edge-1";
    settings.listenAddress = "127.0.0.1";
    settings.callerPort = freePort();
    settings.readinessPort = freePort();
    settings.storeAddress = fmt::format("127.0.0.1:{}", storePort);
    settings.terminationGracePeriod = std::chrono::milliseconds(1500);
    return settings;
}

net::HttpCallResult call(net::HttpClient &client, const platform::EntrySettings &settings,
                         const std::string &method, const std::string &path,
                         const std::string &body)
{
    net::HttpCall call;
    call.method = method;
    call.url = fmt::format("http://127.0.0.1:{}{}", settings.callerPort, path);
    call.headers.add("Host", "h.example");
    call.body = body;
    std::promise<net::HttpCallResult> promise;
    client.send(std::move(call),
                [&](net::HttpCallResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

} // namespace

TEST(PlatformEntry, answers504WhenTheStoreStopsAnsweringAndShutsDownWithOpenStoreCalls)
{
    platform::tests::HangingStore store;
    const auto settings = makeSettings(store.port());
    net::HttpClient client;
    PlatformEntry entry(settings, "");
    std::thread callers([&] {
        net::HttpCallResult early;
        for (int tries = 0; tries < 100; ++tries) {
            early = call(client, settings, "POST", "/q/5c0e7a21d94b36f8",
                         platform::tests::smallestJob);
            if (early.reply && early.reply->status != 503) {
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        EXPECT_TRUE(early.reply);
        EXPECT_EQ(early.reply->status, 504);
        EXPECT_EQ(call(client, settings, "POST", "/q/zz", "{}").reply->status, 404);
        EXPECT_EQ(call(client, settings, "POST", "/other/", "{}").reply->status, 404);
        EXPECT_EQ(call(client, settings, "POST", "/q/5c0e7a21d94b36f8", "{}").reply->status, 400);
        EXPECT_EQ(call(client, settings, "PUT", "/q/5c0e7a21d94b36f8", "").reply->status, 405);
        std::raise(SIGTERM);
    });
    EXPECT_TRUE(entry.run());
    callers.join();
}

// Guards against a submission that the store carries out after its caller was told that there is no
// such job: the job ran although it had been cancelled.
TEST(PlatformEntry, makesSureThatACancelledSubmissionWithoutAnAnswerDoesNothing)
{
    platform::tests::LateStore store;
    const auto settings = makeSettings(store.port());
    net::HttpClient client;
    PlatformEntry entry(settings, "");
    std::thread callers([&] {
        const auto ask = [&](const std::string &method, const std::string &body) {
            const auto result = call(client, settings, method, "/q/5c0e7a21d94b36f8", body);
            return result.reply ? result.reply->status : 0;
        };
        // Until the entry has read the configuration.
        for (int tries = 0; tries < 100 && ask("GET", "") != 410; ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        store.leavesSubmissionsUnanswered = true;
        EXPECT_EQ(ask("POST", platform::tests::smallestJob), 504);
        EXPECT_EQ(ask("DELETE", ""), 410);
        store.endLeases();
        EXPECT_EQ(store.carryOutAllLate(), 2U);
        EXPECT_EQ(store.countKeys("job/"), 0U);
        EXPECT_EQ(ask("GET", ""), 410);
        store.leavesSubmissionsUnanswered = false;
        EXPECT_EQ(ask("POST", platform::tests::smallestJob), 503);
        std::raise(SIGTERM);
    });
    EXPECT_TRUE(entry.run());
    callers.join();
}

} // namespace cyclamenlatch::control
