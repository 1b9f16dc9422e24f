// Maps error kinds to HTTP statuses and renders problem+json.
#include "callerapi/problem.h"

#include "net/httpstatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace cyclamenlatch::callerapi {

namespace {

constexpr std::chrono::seconds defaultRetryAfter{1};

bool waitingHelps(ErrorKind kind)
{
    return kind == ErrorKind::Overloaded || kind == ErrorKind::Unavailable;
}

} // namespace

net::HttpReply makeProblem(const Error &error, dispatch::Outcome outcome,
                           const std::string &requestId, std::chrono::seconds retryAfter)
{
    const nlohmann::json body{
            {"type", "urn:cyclamenlatch:problem:" + std::string(errorKindNames.name(error.kind))},
            {"title", error.message},
            {"status", net::statusOf(error.kind)},
            {"remedy", error.remedy},
            {"outcome", dispatch::outcomeNames.name(outcome)},
    };
    net::HttpReply reply;
    reply.status = net::statusOf(error.kind);
    reply.headers.add("Content-Type", "application/problem+json");
    reply.headers.add("Cyclamenlatch-Outcome", std::string(dispatch::outcomeNames.name(outcome)));
    if (!requestId.empty()) {
        reply.headers.add("Request-Id", requestId);
    }
    if (retryAfter.count() > 0 || waitingHelps(error.kind)) {
        const auto delay = std::max(retryAfter, defaultRetryAfter);
        reply.headers.add("Retry-After", std::to_string(delay.count()));
    }
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return reply;
}

} // namespace cyclamenlatch::callerapi
