// How a dispatched request ended.
#pragma once

#include "dispatch/outcome.h"
#include "global/error.h"

#include <optional>
#include <string>

namespace cyclamenlatch::dispatch {

struct DispatchAnswer
{
    Outcome outcome = Outcome::NotRun;
    // Set unless the outcome is Completed.
    std::optional<Error> error;
    // The minion's answer when the outcome is Completed.
    int status = 200;
    std::string contentType;
    std::string body;
};

} // namespace cyclamenlatch::dispatch
