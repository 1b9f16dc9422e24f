// What a caller is told when its idempotency key was not granted.
#pragma once

#include "dispatch/dispatchanswer.h"
#include "dispatch/outcomeclaim.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenlatch::dispatch {

// No verdict means that no owner answered. Must not be called with Granted.
DispatchAnswer deniedClaimAnswer(std::optional<ClaimVerdict> verdict, StoredAnswer kept);

// Tells apart the bodies that come with one key.
std::uint64_t bodyFingerprint(std::string_view body);

} // namespace cyclamenlatch::dispatch
