// The steps of one host through a wave.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::maintenance {

// Claims in ledgers are added only in Claiming and removed only in Releasing and Done (and in
// SetAside once the wave is over). Because each change of step is a compare-and-swap, a leader
// that acts on an old reading can neither take a host without a claim nor drop a claim in use.
enum class HostStep {
    Pending,
    // Claims are being entered in every ledger that the host touches.
    Claiming,
    // Entries send the host nothing new and finish what they have in flight.
    Leaving,
    // The reboot is recorded, and only then asked for.
    Rebooting,
    // Healthy again and serving; the claim is held until load has come back.
    SlowStart,
    Done,
    // The host was taken back before its reboot; claims are being removed.
    Releasing,
    // The host did not come back in time; it stays counted.
    SetAside,
};

inline constexpr NamedValue<HostStep> hostStepEntries[] = {
        {HostStep::Pending, "pending"},      {HostStep::Claiming, "claiming"},
        {HostStep::Leaving, "leaving"},      {HostStep::Rebooting, "rebooting"},
        {HostStep::SlowStart, "slow-start"}, {HostStep::Done, "done"},
        {HostStep::Releasing, "releasing"},  {HostStep::SetAside, "set-aside"},
};
inline constexpr NameTable hostStepNames{hostStepEntries};

// Whether entries must send the host nothing new.
constexpr bool isLeaving(HostStep step)
{
    return step == HostStep::Leaving || step == HostStep::Rebooting || step == HostStep::SetAside;
}

constexpr bool isFinal(HostStep step)
{
    return step == HostStep::Done || step == HostStep::SetAside;
}

} // namespace cyclamenlatch::maintenance
