// What callers send and are answered.
#pragma once

#include "global/result.h"
#include "net/httprequest.h"
#include "scheduling/jobphase.h"
#include "scheduling/jobspec.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenlatch::platform {

inline constexpr std::string_view readinessPath = "/v1/readyz";

// Fails with what is wrong with the job.
Result<scheduling::JobSpec> decodeJob(const std::string &body);
std::string encodeJobPhase(scheduling::JobPhase phase);
std::string encodePendingCount(std::size_t count);
std::string encodeError(const std::string &message, const std::string &remedy);
// How long the caller waits for the answer; nothing when it does not say.
std::optional<std::chrono::milliseconds> decodeCallerTimeout(const net::HttpRequest &request);

} // namespace cyclamenlatch::platform
