// Parses idempotency keys from the end, since the names of data centres may contain dashes.
#include "dispatch/idempotencykey.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cyclamenlatch::dispatch {

namespace {

constexpr std::size_t minRandomBytes = 8;
constexpr std::size_t maxRandomBytes = 64;
constexpr std::size_t maxKeyBytes = 160;

auto malformed()
{
    return failure(ErrorKind::InvalidInput, "Idempotency-Key is malformed",
                   "send \"<data centre>-<milliseconds since 1970>-<8 to 64 random letters and "
                   "digits>\"");
}

bool isAlphanumeric(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char letter) { return std::isalnum(letter) != 0; });
}

} // namespace

Result<IdempotencyKey> parseIdempotencyKey(std::string_view text)
{
    const auto randomDash = text.rfind('-');
    if (text.size() > maxKeyBytes || randomDash == std::string_view::npos || randomDash == 0) {
        return malformed();
    }
    const auto random = text.substr(randomDash + 1);
    const auto timeDash = text.rfind('-', randomDash - 1);
    if (timeDash == std::string_view::npos || timeDash == 0 || random.size() < minRandomBytes
        || random.size() > maxRandomBytes || !isAlphanumeric(random)) {
        return malformed();
    }
    const auto time = text.substr(timeDash + 1, randomDash - timeDash - 1);
    std::int64_t milliseconds = 0;
    const auto *end = time.data() + time.size();
    const auto parsed = std::from_chars(time.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds <= 0) {
        return malformed();
    }
    return IdempotencyKey{DataCentreId(std::string(text.substr(0, timeDash))),
                          WallTime(std::chrono::milliseconds(milliseconds)), std::string(text)};
}

} // namespace cyclamenlatch::dispatch
