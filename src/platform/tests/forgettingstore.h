// A fake of the users' store that knows no job, grants leases and takes every change.
#pragma once

#include "net/tests/serverthread.h"
#include "store/base64.h"

#include <fmt/format.h>

#include <mutex>
#include <string>
#include <utility>

namespace cyclamenlatch::platform::tests {

class ForgettingStore
{
public:
    std::uint16_t port() const { return m_server.port(); }
    // Whether a transaction has written this text.
    bool hasWritten(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        return m_written.find(store::toBase64(text)) != std::string::npos;
    }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        net::HttpReply reply;
        if (request.path == "/v1/kv-watch") {
            return m_server.leaveUnanswered(respond);
        }
        if (request.path == "/v1/kv-range") {
            const auto rules = store::toBase64(
                    R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/q/",)"
                    R"("service":"s","public":true}],"services":[],"tenants":[]})");
            const bool isConfiguration = request.query.find("prefix=op/") == 0;
            reply.body = isConfiguration
                                 ? fmt::format(R"({{"items":[{{"key":"op/config","value":"{}",)"
                                               R"("revision":2}}],"at":2}})",
                                               rules)
                                 : R"({"items":[],"at":2})";
        } else if (request.path == "/v1/kv-lease") {
            reply.body = R"({"lease":9,"ttl_ms":1300})";
        } else if (request.path == "/v1/kv-txn") {
            reply.body = R"({"revision":6})";
            const std::lock_guard lock(m_mutex);
            m_written += request.body;
        } else if (request.path.starts_with("/v1/kv-keep/")) {
            reply.body = R"({"ttl_ms":1300})";
        } else {
            reply.status = 404;
        }
        respond(std::move(reply));
    }

    std::mutex m_mutex;
    // Bodies of all transactions; guarded by m_mutex.
    std::string m_written;
    net::tests::ServerThread m_server{
            [this](const auto &request, const auto &respond) { answer(request, respond); }};
};

} // namespace cyclamenlatch::platform::tests
