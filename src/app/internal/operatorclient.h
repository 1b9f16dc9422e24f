// Asks an entry's operator interface on behalf of a command and waits for the answer.
#pragma once

#include "global/result.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cyclamenlatch::app::detail {

struct OperatorAnswer
{
    int status = 0;
    nlohmann::json body;

    bool isSuccess() const { return status == 200; }
};

// Uses the flags --operator_url and --operator_key, or $CYCLAMENLATCH_OPERATOR_KEY.
Result<OperatorAnswer> askEntry(const std::string &method, const std::string &path,
                                const std::string &body = {});

// Prints the answer as JSON when --output is json, otherwise an error with its remedy. Returns the
// command's exit status; toShow tells whether the caller is to show the answer as text.
int finishAnswer(const Result<OperatorAnswer> &answer, bool &toShow);

// "3 of 4 entries; pending: dc-c (e-7)".
std::string spreadText(const nlohmann::json &spread);

} // namespace cyclamenlatch::app::detail
