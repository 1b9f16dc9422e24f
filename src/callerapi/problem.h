// Replies that refuse a request, as application/problem+json with the outcome in a header.
#pragma once

#include "dispatch/outcome.h"
#include "global/error.h"
#include "net/httpreply.h"

#include <string>

namespace cyclamenlatch::callerapi {

net::HttpReply makeProblem(const Error &error, dispatch::Outcome outcome,
                           const std::string &requestId);

} // namespace cyclamenlatch::callerapi
