// One life of one entry process, as it holds units. A restarted entry is another holder.
#pragma once

#include "global/ids.h"

#include <compare>
#include <cstdint>

namespace cyclamenlatch::quota {

struct QuotaHolder
{
    EntryId entry;
    std::uint64_t incarnation = 0;

    auto operator<=>(const QuotaHolder &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(entry, incarnation);
    }
};

} // namespace cyclamenlatch::quota
