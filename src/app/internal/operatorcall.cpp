// Carries an operator's command to an entry over HTTP.
#include "app/internal/operatorcall.h"

#include "net/sendandwait.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(operator_url, "http://127.0.0.1:8201", "operator commands: an entry's operator port");
DEFINE_string(operator_key, "", "operator commands: the operator's key");

namespace cyclamenlatch::app::detail {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds callTimeout{15000};

Result<json> readAnswer(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return failure(ErrorKind::Unavailable, "no answer from the entry: " + result.failure,
                       "ask another entry with --operator_url, then look at the status");
    }
    const auto answer = json::parse(result.reply->body, nullptr, false);
    if (result.reply->status == 200 && !answer.is_discarded()) {
        return answer;
    }
    if (!answer.is_object()) {
        return failure(ErrorKind::Internal,
                       fmt::format("the entry answered with status {}", result.reply->status),
                       "check that --operator_url names an entry's operator port");
    }
    const auto kind = errorKindNames.value(answer.value("error", std::string()));
    return failure(kind.value_or(ErrorKind::Internal), answer.value("message", std::string()),
                   answer.value("remedy", std::string()));
}

} // namespace

Result<json> callOperator(const std::string &method, const std::string &path, const json &body)
{
    net::HttpCall call;
    call.method = method;
    call.url = FLAGS_operator_url + path;
    call.headers.add("Authorization", "Bearer " + FLAGS_operator_key);
    call.body = body.is_null() ? std::string() : body.dump();
    call.timeout = callTimeout;
    net::HttpClient client;
    return readAnswer(net::sendAndWait(client, std::move(call)));
}

} // namespace cyclamenlatch::app::detail
