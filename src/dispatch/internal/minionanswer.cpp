// A reply is accepted only when it is complete and carries the id of the request that was sent.
#include "dispatch/minionanswer.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::dispatch {

namespace {

DispatchAnswer failedAnswer(Outcome outcome, ErrorKind kind, std::string message,
                            std::string remedy)
{
    DispatchAnswer answer;
    answer.outcome = outcome;
    answer.error = Error{kind, std::move(message), std::move(remedy)};
    return answer;
}

} // namespace

DispatchAnswer classifyMinionAnswer(net::HttpCallResult result, std::string_view requestId)
{
    if (!result.reply) {
        if (result.sendState == net::SendState::NotSent) {
            return failedAnswer(Outcome::NotRun, ErrorKind::Unavailable,
                                fmt::format("no minion could be reached: {}", result.failure),
                                "try again later");
        }
        return failedAnswer(Outcome::Unknown, ErrorKind::Unknown,
                            fmt::format("the minion gave no whole answer: {}", result.failure),
                            "find out whether the work took effect before you repeat it");
    }
    auto &reply = *result.reply;
    if (reply.headers.find(requestIdHeader) != requestId) {
        return failedAnswer(Outcome::Unknown, ErrorKind::Unknown,
                            "the minion's answer belongs to another request",
                            "find out whether the work took effect before you repeat it");
    }
    if (reply.headers.find(startedHeader) == "no") {
        return failedAnswer(Outcome::NotRun, ErrorKind::Unavailable,
                            "the minion refused the request before it started it",
                            "try again later");
    }
    DispatchAnswer answer;
    answer.outcome = Outcome::Completed;
    answer.status = reply.status;
    answer.contentType = std::string(reply.headers.find("Content-Type").value_or(""));
    answer.body = std::move(reply.body);
    return answer;
}

} // namespace cyclamenlatch::dispatch
