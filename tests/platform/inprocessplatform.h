// The stand-in platform within the test's own process, with a client of it.
#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/workerthreads.h"
#include "standins/platform/platformserver.h"
#include "store/storeclient.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <string>
#include <utility>

namespace cyclamenlatch::tests {

class InProcessPlatform
{
public:
    InProcessPlatform()
        : m_platform(m_threads.context())
        , m_server(m_threads.context(), {},
                   [this](net::HttpRequest request, net::HttpResponder respond) {
                       m_platform.handle(std::move(request), std::move(respond));
                   })
    {
        EXPECT_TRUE(m_server.start().has_value());
        m_client.emplace(m_threads.context(), m_http, clientSettings());
    }

    ~InProcessPlatform()
    {
        m_client->stop();
        m_server.stop();
        m_threads.stop();
    }

    InProcessPlatform(const InProcessPlatform &) = delete;
    InProcessPlatform &operator=(const InProcessPlatform &) = delete;

    std::string url() const { return fmt::format("http://127.0.0.1:{}", m_server.port()); }
    store::StoreClient &client() { return *m_client; }
    asio::io_context &context() { return m_threads.context(); }

    // Sets faults as POST /control does.
    void control(const std::string &faults)
    {
        net::HttpRequest request;
        request.method = "POST";
        request.path = "/control";
        request.body = faults;
        m_platform.handle(std::move(request), [](const net::HttpReply &) {});
    }

    // Waits for the operation that start(completion) begins.
    template<typename Value, typename Start>
    static Result<Value> await(const Start &start)
    {
        std::promise<Result<Value>> promise;
        start([&promise](Result<Value> result) { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }

    Result<store::StoreRevision> write(const std::string &key, const std::string &value,
                                       store::StoreRevision expected)
    {
        return await<store::StoreRevision>([&](auto completion) {
            m_client->compareAndSwap({key, value, expected, ""}, completion);
        });
    }

    Result<std::optional<store::StoreItem>> get(const std::string &key)
    {
        return await<std::optional<store::StoreItem>>(
                [&](auto completion) { m_client->get(key, completion); });
    }

private:
    store::StoreClientSettings clientSettings() const
    {
        store::StoreClientSettings settings;
        settings.url = url();
        settings.callTimeout = std::chrono::milliseconds(2000);
        settings.operationTimeout = std::chrono::milliseconds(4000);
        return settings;
    }

    net::WorkerThreads m_threads{2};
    standins::PlatformServer m_platform;
    net::HttpServer m_server;
    std::optional<store::StoreClient> m_client;
    net::HttpClient m_http;
};

} // namespace cyclamenlatch::tests
