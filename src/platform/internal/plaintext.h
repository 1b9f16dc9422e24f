// Checks of names and addresses that come from other processes. They are sent in headers and URLs
// and are written to the log.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace cyclamenlatch::platform::detail {

constexpr std::size_t maxNameBytes = 200;

// A name without control bytes, of a bounded length; it may be empty.
inline bool isPlainText(std::string_view text)
{
    return text.size() <= maxNameBytes
           && std::none_of(text.begin(), text.end(), [](const char character) {
                  const auto byte = static_cast<unsigned char>(character);
                  return byte < 0x20 || byte == 0x7f;
              });
}

// A name of visible ASCII characters, so that it can be the value of a header.
inline bool isIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
           && std::all_of(text.begin(), text.end(), [](const char character) {
                  return character > 0x20 && character < 0x7f && character != '"';
              });
}

// Reads all of the text as a decimal number without sign.
template<typename Number>
bool parseWholeNumber(std::string_view text, Number &number)
{
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return !text.empty() && text.front() != '-' && parsed.ec == std::errc{} && parsed.ptr == end;
}

// Whether the text is an IPv4 address and a port other than 0.
inline bool isEndpoint(std::string_view text)
{
    const auto colon = text.find(':');
    std::uint16_t port = 0;
    if (colon == std::string_view::npos || !parseWholeNumber(text.substr(colon + 1), port)
        || port == 0) {
        return false;
    }
    auto rest = text.substr(0, colon);
    for (int octets = 4; octets > 0; --octets) {
        const auto dot = rest.find('.');
        std::uint8_t octet = 0;
        const bool isLast = octets == 1;
        if ((dot == std::string_view::npos) != isLast
            || !parseWholeNumber(rest.substr(0, dot), octet)) {
            return false;
        }
        rest.remove_prefix(isLast ? rest.size() : dot + 1);
    }
    return true;
}

} // namespace cyclamenlatch::platform::detail
