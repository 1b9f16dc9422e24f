// Replies that refuse a request, as application/problem+json with the outcome in a header.
#pragma once

#include "dispatch/outcome.h"
#include "global/error.h"
#include "net/httpreply.h"

#include <chrono>
#include <string>

namespace cyclamenlatch::callerapi {

// retryAfter says when to ask again; zero leaves it to the kind of error.
net::HttpReply makeProblem(const Error &error, dispatch::Outcome outcome,
                           const std::string &requestId,
                           std::chrono::seconds retryAfter = std::chrono::seconds(0));

} // namespace cyclamenlatch::callerapi
