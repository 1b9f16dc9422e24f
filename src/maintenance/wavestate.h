// The states of a wave.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::maintenance {

enum class WaveState { Running, Paused, Done };

inline constexpr NamedValue<WaveState> waveStateEntries[] = {
        {WaveState::Running, "running"},
        {WaveState::Paused, "paused"},
        {WaveState::Done, "done"},
};
inline constexpr NameTable waveStateNames{waveStateEntries};

} // namespace cyclamenlatch::maintenance
