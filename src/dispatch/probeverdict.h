// Result of a probe on a new connection about a request in flight.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::dispatch {

enum class ProbeVerdict {
    // The minion still runs the request.
    Running,
    // The minion does not run the request: its answer is in transit or lost.
    NotRunning,
    // The minion is alive but does not say whether it runs the request.
    Alive,
    // The minion did not answer the probe.
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
