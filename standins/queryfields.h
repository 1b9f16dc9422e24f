// Reads fields of a URL's query. Values are taken as they stand; the stand-ins need no escapes.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace cyclamenlatch::standins {

inline std::string queryText(std::string_view query, std::string_view field)
{
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        query.remove_prefix(pair.size() == query.size() ? query.size() : pair.size() + 1);
        if (pair.size() > field.size() && pair.starts_with(field) && pair[field.size()] == '=') {
            return std::string(pair.substr(field.size() + 1));
        }
    }
    return {};
}

inline std::uint64_t queryNumber(std::string_view query, std::string_view field)
{
    return std::strtoull(queryText(query, field).c_str(), nullptr, 10);
}

} // namespace cyclamenlatch::standins
