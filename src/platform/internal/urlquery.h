// Encoding of values in the query of a URL.
#pragma once

#include <fmt/format.h>

#include <iterator>
#include <string>

namespace cyclamenlatch::platform::detail {

inline std::string escapeQuery(const std::string &text)
{
    std::string escaped;
    for (const unsigned char character : text) {
        const bool isPlain = (character >= 'a' && character <= 'z')
                             || (character >= 'A' && character <= 'Z')
                             || (character >= '0' && character <= '9') || character == '-'
                             || character == '_' || character == '.' || character == '/';
        if (isPlain) {
            escaped.push_back(static_cast<char>(character));
        } else {
            fmt::format_to(std::back_inserter(escaped), "%{:02X}", character);
        }
    }
    return escaped;
}

} // namespace cyclamenlatch::platform::detail
