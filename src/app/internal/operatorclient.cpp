// The calling side of the operator interface.
#include "app/internal/operatorclient.h"

#include "app/commands.h"
#include "net/sendandwait.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(operator_url, "http://127.0.0.1:8201",
              "operator commands: an entry's operator port; https:// when its settings have tls");
DEFINE_string(operator_key, "",
              "operator commands: the operator's key; default: $CYCLAMENLATCH_OPERATOR_KEY");
DEFINE_string(ca_file, "",
              "operator commands: PEM file with the certificates that sign the entries'; default: "
              "the system's");
DECLARE_string(output);

namespace cyclamenlatch::app::detail {

namespace {

using nlohmann::json;

std::string operatorKey()
{
    const char *fromEnvironment = std::getenv("CYCLAMENLATCH_OPERATOR_KEY");
    if (!FLAGS_operator_key.empty() || fromEnvironment == nullptr) {
        return FLAGS_operator_key;
    }
    return fromEnvironment;
}

std::string unreachedRemedy()
{
    return FLAGS_operator_url.starts_with("https:")
                   ? "name a running entry with --operator_url, and with --ca_file the "
                     "certificates that sign its own"
                   : "name a running entry with --operator_url; https:// when its settings have "
                     "\"tls\"";
}

void printError(const json &body)
{
    std::cerr << body.value("message", "the entry gave no reason") << "; "
              << body.value("remedy", "look at the entry's log") << "\n";
    for (const auto &mistake : body.value("mistakes", json::array())) {
        std::cerr << "  line " << mistake.value("line", 0) << ": " << mistake.value("message", "")
                  << "; " << mistake.value("remedy", "") << "\n";
    }
    for (const auto &change : body.value("changes", json::array())) {
        std::cerr << "  " << change.value("kind", "") << " " << change.value("section", "") << " "
                  << change.value("name", "") << "\n";
    }
}

} // namespace

Result<net::HttpReply> fetchFromEntry(const std::string &method, const std::string &path,
                                      const std::string &body)
{
    net::HttpCall call;
    call.method = method;
    call.url = FLAGS_operator_url + path;
    call.headers.add("Authorization", "Bearer " + operatorKey());
    call.body = body;
    call.caFile = FLAGS_ca_file;
    call.timeout = answerTimeout;
    net::HttpClient http;
    auto result = net::sendAndWait(http, std::move(call));
    if (result.reply) {
        return std::move(*result.reply);
    }
    const bool mayHaveHappened = method != "GET" && result.sendState == net::SendState::MaybeSent;
    return failure(mayHaveHappened ? ErrorKind::Unknown : ErrorKind::Unavailable,
                   fmt::format("no answer from {}: {}", FLAGS_operator_url, result.failure),
                   mayHaveHappened ? "look with \"get\" or a \"status\" whether it took effect"
                                   : unreachedRemedy());
}

Result<OperatorAnswer> askEntry(const std::string &method, const std::string &path,
                                const std::string &body)
{
    BOOST_OUTCOME_TRY(reply, fetchFromEntry(method, path, body));
    OperatorAnswer answer;
    answer.status = reply.status;
    answer.body = json::parse(reply.body, nullptr, false);
    if (!answer.body.is_object()) {
        return failure(ErrorKind::Internal, "the answer is not the operator interface's",
                       "check that --operator_url names the port of \"operators\" in the settings");
    }
    return answer;
}

int showAnswer(const Result<OperatorAnswer> &answer, const AnswerWriter &write)
{
    if (!answer) {
        if (FLAGS_output == "json") {
            std::cout << json{{"error", errorKindNames.name(answer.error().kind)},
                              {"message", answer.error().message},
                              {"remedy", answer.error().remedy}}
                                 .dump()
                      << "\n";
        } else {
            std::cerr << answer.error().toString() << "\n";
        }
        return exitFailure;
    }
    const auto &value = answer.value();
    if (FLAGS_output == "json") {
        std::cout << value.body.dump() << "\n";
        return value.isSuccess() ? exitSuccess : exitFailure;
    }
    if (!value.isSuccess()) {
        printError(value.body);
        return exitFailure;
    }
    write(value.body);
    return exitSuccess;
}

int showItems(const Result<OperatorAnswer> &answer, const std::string &list,
              const AnswerWriter &writeItem)
{
    return showAnswer(answer, [&](const json &body) {
        if (!body.contains(list)) {
            return writeItem(body);
        }
        for (const auto &item : body.at(list)) {
            writeItem(item);
        }
    });
}

std::string spreadText(const json &spread)
{
    auto text =
            fmt::format("{} of {} entries", spread.value("inForce", 0), spread.value("entries", 0));
    const auto dataCentres = spread.value("dataCentres", json::array());
    for (const auto &dataCentre : dataCentres) {
        const auto pending = dataCentre.value("pending", std::vector<std::string>());
        if (!pending.empty()) {
            text += fmt::format("; pending in {}: {}", dataCentre.value("dataCentre", ""),
                                fmt::join(pending, ", "));
        }
    }
    return text;
}

} // namespace cyclamenlatch::app::detail
