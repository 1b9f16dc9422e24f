// One life of an entry: the process that an operator speaks of.
#pragma once

#include "global/ids.h"

#include <cstdint>

namespace cyclamenlatch::maintenance {

struct EntryLife
{
    EntryId entry;
    std::uint64_t incarnation = 0;
};

} // namespace cyclamenlatch::maintenance
