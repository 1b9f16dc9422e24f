// Decodes and encodes the documents that operators keep in the store: the configuration,
// maintenance waves and evacuations of data centres.
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

// Prefix of all keys that operators write, the key of the configuration, and the prefix of waves.
inline constexpr std::string_view operatorPrefix = "op/";
inline constexpr std::string_view configurationKey = "op/config";
inline constexpr std::string_view wavePrefix = "op/wave/";
// The name of a data centre follows. While the key exists, nothing more is sent to its targets.
inline constexpr std::string_view evacuationPrefix = "op/evacuate/";

// Fails with InvalidInput when the document has no version or no routes. Other fields that are
// missing or of the wrong type get their defaults.
Result<scheduling::FleetRules> decodeFleetRules(const std::string &value);

// Returns std::nullopt when the document is malformed or has no wave number or no list of hosts.
std::optional<scheduling::WavePlan> decodeWave(const std::string &value);
std::string waveStatusKey(std::uint64_t number);
std::string encodeWaveStatus(bool isCompleted);
// Returns false also for a status that is malformed.
bool isWaveCompleted(const std::string &value);

} // namespace cyclamenlatch::platform
