// An idempotency key as callers send it: "<dataCentre>-<unixMillis>-<random>". It names the data
// centre whose entries store its outcome, and the time at which the caller made it.
#pragma once

#include "global/ids.h"
#include "global/result.h"
#include "global/time.h"

#include <string>
#include <string_view>

namespace cyclamenlatch::dispatch {

struct IdempotencyKey
{
    DataCentreId home;
    WallTime mintedAt;
    // The key as sent by the caller.
    std::string text;
};

// The random part consists of 8 to 64 letters and digits.
Result<IdempotencyKey> parseIdempotencyKey(std::string_view text);

} // namespace cyclamenlatch::dispatch
