// Decodes the requests of callers and encodes the replies to them.
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

// Fails with InvalidInput and a message that names the invalid field.
Result<scheduling::JobSpec> decodeJob(const std::string &body);
std::string encodeJobPhase(scheduling::JobPhase phase);
std::string encodePendingCount(std::size_t count);
std::string encodeError(const std::string &message, const std::string &remedy);
// How long the caller waits for the reply, from the header Cyclamenlatch-Deadline-Ms. Returns
// std::nullopt when the header is missing, negative or not a number.
std::optional<std::chrono::milliseconds> decodeCallerTimeout(const net::HttpRequest &request);

} // namespace cyclamenlatch::platform
