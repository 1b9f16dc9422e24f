// Asks an entry's operator interface on behalf of a command and waits for the answer.
#pragma once

#include "global/result.h"
#include "net/httpreply.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace cyclamenlatch::app::detail {

// Longest wait of an operator's command for its answer.
inline constexpr std::chrono::milliseconds answerTimeout{30000};

struct OperatorAnswer
{
    int status = 0;
    nlohmann::json body;

    bool isSuccess() const { return status == 200; }
};

// Every command asks in this one way: the entry of --operator_url, the key of --operator_key or
// else of $CYCLAMENLATCH_OPERATOR_KEY, the certificates of --ca_file, and answerTimeout. A failure
// tells whether the command may have taken effect.
Result<net::HttpReply> fetchFromEntry(const std::string &method, const std::string &path,
                                      const std::string &body = {});
// The same for answers in JSON.
Result<OperatorAnswer> askEntry(const std::string &method, const std::string &path,
                                const std::string &body = {});

using AnswerWriter = std::function<void(const nlohmann::json &)>;
// Prints the answer as JSON when --output is json; otherwise an error with its remedy, or by write
// what the entry said. Returns the command's exit status.
int showAnswer(const Result<OperatorAnswer> &answer, const AnswerWriter &write);
// The same for a list of items under that name, or for a single item.
int showItems(const Result<OperatorAnswer> &answer, const std::string &list,
              const AnswerWriter &writeItem);

// "3 of 4 entries; pending: dc-c (e-7)".
std::string spreadText(const nlohmann::json &spread);

} // namespace cyclamenlatch::app::detail
