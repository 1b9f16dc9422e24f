// A fake of the users' store that answers only range reads of the operators' keys.
#pragma once

#include "net/tests/serverthread.h"
#include "store/base64.h"

#include <fmt/format.h>

namespace cyclamenlatch::platform::tests {

inline constexpr const char *smallestJob = R"({"spec":"","phases":[{"count":1}]})";

// Returns the configuration for a range read below op/ and leaves every other call unanswered.
class HangingStore
{
public:
    std::uint16_t port() const { return m_server.port(); }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        if (request.path != "/v1/kv-range" || request.query.find("prefix=op/") != 0) {
            return m_server.leaveUnanswered(respond);
        }
        const auto rules = store::toBase64(
                R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/q/",)"
                R"("service":"s","public":true}],"services":[],"tenants":[]})");
        net::HttpReply reply;
        reply.body = fmt::format(
                R"({{"items":[{{"key":"op/config","value":"{}","revision":2}}],"at":2}})", rules);
        respond(std::move(reply));
    }

    net::tests::ServerThread m_server{
            [this](const auto &request, const auto &respond) { answer(request, respond); }};
};

} // namespace cyclamenlatch::platform::tests
