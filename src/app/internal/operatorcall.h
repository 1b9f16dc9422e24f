// One call of an operator's command to an entry.
#pragma once

#include "global/result.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cyclamenlatch::app::detail {

// Sends to the entry of --operator_url with the key of --operator_key and waits for the answer.
// Fails with the entry's own error, or with kind Unavailable when no answer came.
Result<nlohmann::json> callOperator(const std::string &method, const std::string &path,
                                    const nlohmann::json &body);

} // namespace cyclamenlatch::app::detail
