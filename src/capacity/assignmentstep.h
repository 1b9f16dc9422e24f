// Where a worker stands between two pools.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::capacity {

enum class AssignmentStep {
    // Serves its pool.
    Serving,
    // Gets nothing new and finishes what it has, to leave its pool.
    Draining,
};

inline constexpr NamedValue<AssignmentStep> assignmentStepEntries[] = {
        {AssignmentStep::Serving, "serving"},
        {AssignmentStep::Draining, "draining"},
};
inline constexpr NameTable assignmentStepNames{assignmentStepEntries};

} // namespace cyclamenlatch::capacity
