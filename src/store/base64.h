// Base64, for opaque bytes inside JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenlatch::store {

std::string toBase64(std::string_view bytes);
// Returns nothing when the text is not base64.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace cyclamenlatch::store
