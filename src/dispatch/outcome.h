// The three ways a request ends for its caller.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::dispatch {

enum class Outcome {
    // The whole answer to this request is in the reply.
    Completed,
    // No minion has started it, and none will.
    NotRun,
    // It may have run.
    Unknown,
};

inline constexpr NamedValue<Outcome> outcomeEntries[] = {
        {Outcome::Completed, "completed"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Unknown, "unknown"},
};
inline constexpr NameTable outcomeNames{outcomeEntries};

} // namespace cyclamenlatch::dispatch
