// A stand-in of the users' store, for a complete entry: holds one queue, and leaves submissions
// unanswered while asked to, to carry them out later.
#pragma once

#include "net/tests/serverthread.h"
#include "platform/tests/memorystore.h"

#include <atomic>
#include <mutex>
#include <string>
#include <utility>

namespace cyclamenlatch::platform::tests {

class LateStore
{
public:
    LateStore()
    {
        m_store.put("op/config",
                    R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/q/",)"
                    R"("service":"s","public":true}],"services":[],"tenants":[]})");
    }

    std::uint16_t port() const { return m_server.port(); }

    std::atomic<bool> leavesSubmissionsUnanswered = false;
    // While the store is down, leases either pause or expire.
    void endLeases()
    {
        const std::lock_guard lock(m_mutex);
        m_store.endLeases();
    }
    // Returns how many changes there were.
    std::size_t carryOutAllLate()
    {
        const std::lock_guard lock(m_mutex);
        const auto count = m_store.lateChanges();
        while (m_store.lateChanges() > 0) {
            m_store.carryOutLate(0);
        }
        return count;
    }
    std::size_t countKeys(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        return m_store.countKeys(prefix);
    }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        if (request.path == "/v1/kv-watch") {
            return m_server.leaveUnanswered(respond);
        }
        net::HttpCall call;
        call.method = request.method;
        call.url = request.path + (request.query.empty() ? "" : "?" + request.query);
        call.body = request.body;
        const bool isSubmission = request.body.find(R"("key":"job/)") != std::string::npos;
        const std::lock_guard lock(m_mutex);
        m_store.send(std::move(call), [this, respond](net::HttpCallResult result) {
            result.reply ? respond(std::move(*result.reply)) : m_server.leaveUnanswered(respond);
        });
        if (isSubmission && leavesSubmissionsUnanswered) {
            m_store.leaveUnanswered(0);
        } else {
            m_store.answer(0);
        }
    }

    std::mutex m_mutex;
    // Guarded by m_mutex.
    MemoryStore m_store;
    net::tests::ServerThread m_server{
            [this](const auto &request, const auto &respond) { answer(request, respond); }};
};

} // namespace cyclamenlatch::platform::tests
