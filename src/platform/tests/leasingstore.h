// A fake of the users' store that grants one lease and holds no owner key.
#pragma once

#include "net/tests/serverthread.h"
#include "store/base64.h"

#include <atomic>
#include <mutex>
#include <string>
#include <utility>

namespace cyclamenlatch::platform::tests {

// Stops answering while isSilent is set, and does not know its lease once hasLease is cleared.
class LeasingStore
{
public:
    std::string address() const { return m_server.address(); }

    std::atomic<bool> isSilent = false;
    std::atomic<bool> hasLease = true;
    // What the term's key holds; empty: there is none. To be set before the first call.
    std::string term;
    // Whether a transaction has written this text.
    bool hasWritten(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        return m_written.find(store::toBase64(text)) != std::string::npos;
    }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        const bool isWatch = request.path == "/v1/kv-watch";
        if (isSilent || isWatch) {
            return m_server.leaveUnanswered(respond);
        }
        net::HttpReply reply;
        if (request.path == "/v1/kv-range") {
            reply.body = R"({"items":[],"at":5})";
        } else if (request.path == "/v1/kv-key" && request.query == "key=term" && !term.empty()) {
            reply.body = R"({"key":"term","value":")" + store::toBase64(term)
                         + R"(","revision":3,"created":3,"lease":0,"at":5})";
        } else if (request.path == "/v1/kv-lease") {
            reply.body = R"({"lease":9,"ttl_ms":1300})";
        } else if (request.path == "/v1/kv-txn") {
            reply.body = R"({"revision":6})";
            const std::lock_guard lock(m_mutex);
            m_written += request.body;
        } else if (request.path.starts_with("/v1/kv-keep/") && hasLease) {
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
