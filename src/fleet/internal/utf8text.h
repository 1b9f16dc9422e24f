// Finds text that is not UTF-8, which no YAML writer gives back unchanged.
#pragma once

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <optional>
#include <string_view>

namespace cyclamenlatch::fleet::detail {

// The line, counted from 1, of the first byte that is not part of a UTF-8 character.
inline std::optional<int> lineOfInvalidUtf8(std::string_view text)
{
    namespace utf = boost::locale::utf;
    auto position = text.begin();
    while (position != text.end()) {
        const auto start = position;
        const auto character = utf::utf_traits<char>::decode(position, text.end());
        if (character == utf::illegal || character == utf::incomplete) {
            return 1 + static_cast<int>(std::count(text.begin(), start, '\n'));
        }
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::fleet::detail
