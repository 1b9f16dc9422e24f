// Spells a holder as one string, "entry@incarnation", for the keys of JSON objects.
#pragma once

#include "quota/quotaholder.h"

#include <charconv>
#include <optional>
#include <string>

namespace cyclamenlatch::quota::detail {

inline std::string holderName(const QuotaHolder &holder)
{
    return holder.entry.value() + '@' + std::to_string(holder.incarnation);
}

inline std::optional<QuotaHolder> holderOf(const std::string &name)
{
    const auto at = name.rfind('@');
    if (at == std::string::npos) {
        return std::nullopt;
    }
    QuotaHolder holder{EntryId(name.substr(0, at)), 0};
    const auto *begin = name.data() + at + 1;
    const auto *end = name.data() + name.size();
    const auto parsed = std::from_chars(begin, end, holder.incarnation);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return holder;
}

} // namespace cyclamenlatch::quota::detail
