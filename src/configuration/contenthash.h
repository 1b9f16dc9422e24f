// The hash that names a piece of configuration by its content.
#pragma once

#include <string>
#include <string_view>

namespace cyclamenlatch::configuration {

// Returns BLAKE2b-128 of the content in hexadecimal.
std::string contentHash(std::string_view content);

} // namespace cyclamenlatch::configuration
