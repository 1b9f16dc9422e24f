// Turns what came back from a minion into an outcome.
#pragma once

#include "dispatch/dispatchanswer.h"
#include "net/httpcallresult.h"

#include <string_view>

namespace cyclamenlatch::dispatch {

// Header in which a minion repeats the id of the request that it answers.
inline constexpr std::string_view requestIdHeader = "Request-Id";
// Header by which a minion says that it has not started a request that it refuses: "no".
inline constexpr std::string_view startedHeader = "Minion-Started";

DispatchAnswer judgeMinionAnswer(net::HttpCallResult result, std::string_view requestId);

} // namespace cyclamenlatch::dispatch
