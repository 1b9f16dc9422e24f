// Maps error kinds to HTTP statuses and renders problem+json.
#include "callerapi/problem.h"

#include <nlohmann/json.hpp>

namespace cyclamenlatch::callerapi {

namespace {

int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Overloaded:
        return 429;
    case ErrorKind::Unavailable:
    case ErrorKind::Cancelled:
        return 503;
    case ErrorKind::Timeout:
        return 504;
    case ErrorKind::Unknown:
        return 502;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

bool waitingHelps(ErrorKind kind)
{
    return kind == ErrorKind::Overloaded || kind == ErrorKind::Unavailable;
}

} // namespace

net::HttpReply makeProblem(const Error &error, dispatch::Outcome outcome,
                           const std::string &requestId)
{
    const nlohmann::json body{
            {"type", "urn:cyclamenlatch:problem:" + std::string(errorKindNames.name(error.kind))},
            {"title", error.message},
            {"status", statusOf(error.kind)},
            {"remedy", error.remedy},
            {"outcome", dispatch::outcomeNames.name(outcome)},
    };
    net::HttpReply reply;
    reply.status = statusOf(error.kind);
    reply.headers.add("Content-Type", "application/problem+json");
    reply.headers.add("Cyclamenlatch-Outcome", std::string(dispatch::outcomeNames.name(outcome)));
    if (!requestId.empty()) {
        reply.headers.add("Request-Id", requestId);
    }
    if (waitingHelps(error.kind)) {
        reply.headers.add("Retry-After", "1");
    }
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return reply;
}

} // namespace cyclamenlatch::callerapi
