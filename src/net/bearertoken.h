// The key that a request presents in its Authorization header.
#pragma once

#include "net/httpheaders.h"

#include <string_view>

namespace cyclamenlatch::net {

// Empty when there is none. The "Bearer " before the key may be left out. Views into headers.
inline std::string_view bearerToken(const HttpHeaders &headers)
{
    constexpr std::string_view prefix = "Bearer ";
    const auto header = headers.find("Authorization").value_or("");
    return header.starts_with(prefix) ? header.substr(prefix.size()) : header;
}

} // namespace cyclamenlatch::net
