// A whole entry against a store that answers only what a test lets it answer.
#include "control/platformentry.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "store/base64.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenlatch::control {

namespace {

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
    settings.ownAddress = "127.0.0.1";
    settings.callerPort = freePort();
    settings.readinessPort = freePort();
    settings.storeAddress = fmt::format("127.0.0.1:{}", storePort);
    settings.grace = std::chrono::milliseconds(1500);
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

TEST(PlatformEntry, answersThatAJobIsUnclearWhenTheStoreFallsSilentAndStopsWithCallsOnTheirWay)
{
    HangingStore store;
    const auto settings = makeSettings(store.port());
    net::HttpClient client;
    PlatformEntry entry(settings, "");
    std::thread callers([&] {
        net::HttpCallResult early;
        for (int tries = 0; tries < 100; ++tries) {
            early = call(client, settings, "POST", "/q/5c0e7a21d94b36f8",
                         R"({"spec":"","phases":[{"count":1}]})");
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

} // namespace cyclamenlatch::control
