// Phases of a job, as callers see them.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::scheduling {

enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };

inline constexpr NamedValue<JobPhase> jobPhaseEntries[] = {
        {JobPhase::Queued, "queued"},       {JobPhase::Running, "running"},
        {JobPhase::Completed, "completed"}, {JobPhase::Failed, "failed"},
        {JobPhase::Cancelled, "cancelled"},
};
inline constexpr NameTable jobPhaseNames{jobPhaseEntries};

inline bool isFinal(JobPhase phase)
{
    return phase != JobPhase::Queued && phase != JobPhase::Running;
}

} // namespace cyclamenlatch::scheduling
