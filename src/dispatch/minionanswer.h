// Derives the outcome of a call from a minion's answer.
#pragma once

#include "dispatch/dispatchanswer.h"
#include "net/httpcallresult.h"

#include <string_view>

namespace cyclamenlatch::dispatch {

// Header in which a minion returns the id of the request that it answers.
inline constexpr std::string_view requestIdHeader = "Request-Id";
// Header with the value "no" in the answer of a minion that refused a request before it started it.
inline constexpr std::string_view startedHeader = "Minion-Started";

DispatchAnswer classifyMinionAnswer(net::HttpCallResult result, std::string_view requestId);

} // namespace cyclamenlatch::dispatch
