// The operators' documents in the store: the configuration, the waves and the evacuations.
#pragma once

#include "global/result.h"
#include "scheduling/fleetrules.h"
#include "scheduling/hostinfo.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::platform {

// Where operators write, the key of the configuration, and the prefix of waves.
inline constexpr std::string_view operatorPrefix = "op/";
inline constexpr std::string_view configurationKey = "op/config";
inline constexpr std::string_view wavePrefix = "op/wave/";
// A data centre's name follows; while the key is there, nothing more is sent to its targets.
inline constexpr std::string_view evacuationPrefix = "op/evacuate/";

Result<scheduling::FleetRules> decodeFleetRules(const std::string &value);

// Nothing when it can't be read.
std::optional<scheduling::WavePlan> decodeWave(const std::string &value);
std::string waveStatusKey(std::uint64_t number);
std::string encodeWaveStatus(bool isCompleted);
// Whether a stored status says that the wave is completed.
bool isWaveCompleted(const std::string &value);

} // namespace cyclamenlatch::platform
