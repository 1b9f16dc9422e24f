// Case-insensitive header look-up.
#include "net/httpheaders.h"

#include <algorithm>
#include <cctype>

namespace cyclamenlatch::net {

namespace {

// Most messages have no more fields.
constexpr std::size_t usualCount = 8;

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
               == std::tolower(static_cast<unsigned char>(b));
    });
}

} // namespace

void HttpHeaders::add(std::string name, std::string value)
{
    if (m_headers.empty()) {
        m_headers.reserve(usualCount);
    }
    m_headers.push_back({std::move(name), std::move(value)});
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const auto &header : m_headers) {
        if (equalsIgnoringCase(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::net
