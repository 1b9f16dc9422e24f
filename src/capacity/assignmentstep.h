// Where a worker stands between two pools.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::capacity {

enum class AssignmentStep {
    // Serves its pool.
    Serving,
    // Serves its pool while its claims are being entered in the ledgers that it touches.
    Claiming,
    // Gets nothing new and finishes what it has, to leave its pool.
    Draining,
};

inline constexpr NamedValue<AssignmentStep> assignmentStepEntries[] = {
        {AssignmentStep::Serving, "serving"},
        {AssignmentStep::Claiming, "claiming"},
        {AssignmentStep::Draining, "draining"},
};
inline constexpr NameTable assignmentStepNames{assignmentStepEntries};

} // namespace cyclamenlatch::capacity
