// Answers for callers whose idempotency key was not granted.
#pragma once

#include "dispatch/dispatchanswer.h"
#include "dispatch/outcomeclaim.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenlatch::dispatch {

// Without a verdict, no owner has answered. Must not be called with Granted.
DispatchAnswer deniedClaimAnswer(std::optional<ClaimVerdict> verdict, StoredAnswer stored);

// Hash that distinguishes the bodies sent with the same key.
std::uint64_t bodyFingerprint(std::string_view body);

} // namespace cyclamenlatch::dispatch
