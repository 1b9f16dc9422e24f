// Checks of names and addresses that come from other processes. They are sent in headers and URLs
// and are written to the log.
#pragma once

#include "global/controlbyte.h"
#include "net/endpoint.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cyclamenlatch::platform::detail {

constexpr std::size_t maxNameBytes = 200;

// A name without control bytes, of a bounded length; it may be empty.
inline bool isPlainText(std::string_view text)
{
    return text.size() <= maxNameBytes && std::none_of(text.begin(), text.end(), isControlByte);
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

// Whether the text is an IPv4 address and a port that can be called.
inline bool isEndpoint(std::string_view text)
{
    const auto endpoint = isPlainText(text) ? net::parseEndpoint(text) : std::nullopt;
    return endpoint && endpoint->port() != 0;
}

} // namespace cyclamenlatch::platform::detail
