// The result of a dispatched request.
#pragma once

#include "dispatch/outcome.h"
#include "global/error.h"

#include <chrono>
#include <optional>
#include <string>

namespace cyclamenlatch::dispatch {

struct DispatchAnswer
{
    Outcome outcome = Outcome::NotRun;
    // Set unless the outcome is Completed.
    std::optional<Error> error;
    // Delay after which the caller may retry; zero when waiting does not help.
    std::chrono::seconds retryAfter{0};
    // The minion's answer when the outcome is Completed.
    int status = 200;
    std::string contentType;
    std::string body;
};

} // namespace cyclamenlatch::dispatch
