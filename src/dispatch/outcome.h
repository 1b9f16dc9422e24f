// The outcomes of a request that a caller can see.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::dispatch {

enum class Outcome {
    // The reply holds the minion's complete answer to this request.
    Completed,
    // No minion has started the request, and none will.
    NotRun,
    // The request may have run.
    Unknown,
};

inline constexpr NamedValue<Outcome> outcomeEntries[] = {
        {Outcome::Completed, "completed"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Unknown, "unknown"},
};
inline constexpr NameTable outcomeNames{outcomeEntries};

} // namespace cyclamenlatch::dispatch
