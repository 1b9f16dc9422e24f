// What one try of a request on a minion came to.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::dispatch {

enum class CallVerdict {
    // A whole answer that is not a server error.
    Success,
    // A whole answer with a 5xx status: the work ran and failed.
    Failure,
    // No byte reached the minion, or it said that it did not start the work.
    NotRun,
    // The work may have run, and may still run.
    Unknown,
};

inline constexpr NamedValue<CallVerdict> callVerdictEntries[] = {
        {CallVerdict::Success, "success"},
        {CallVerdict::Failure, "failure"},
        {CallVerdict::NotRun, "not-run"},
        {CallVerdict::Unknown, "unknown"},
};
inline constexpr NameTable callVerdictNames{callVerdictEntries};

} // namespace cyclamenlatch::dispatch
