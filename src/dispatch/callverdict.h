// Result of one attempt to run a request on a minion.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::dispatch {

enum class CallVerdict {
    // The minion gave a complete answer that is not a server error.
    Success,
    // The minion gave a complete answer with a 5xx status: the work ran and failed.
    Failure,
    // No byte was sent to the minion, or it answered that it did not start the work.
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
