// What a probe on a new connection told about a request that is in flight.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::dispatch {

enum class ProbeVerdict {
    // The minion still runs the request.
    Running,
    // The minion does not run the request: its answer is on the way, or was lost.
    NotRunning,
    // The minion is alive and does not say what it runs.
    Alive,
    // No answer.
    Unresponsive,
};

inline constexpr NamedValue<ProbeVerdict> probeVerdictEntries[] = {
        {ProbeVerdict::Running, "running"},
        {ProbeVerdict::NotRunning, "not-running"},
        {ProbeVerdict::Alive, "alive"},
        {ProbeVerdict::Unresponsive, "silent"},
};
inline constexpr NameTable probeVerdictNames{probeVerdictEntries};

} // namespace cyclamenlatch::dispatch
