// What an operator vouches for as gone: one entry, or all entries of a data centre.
#pragma once

#include "global/ids.h"

#include <cstddef>
#include <variant>

namespace cyclamenlatch::quota {

using GoneSubject = std::variant<EntryId, DataCentreId>;

// How far an operator's word has come.
struct GoneNote
{
    // Holders that it is about.
    std::size_t holders = 0;
    // The store knows it of all of them, so that no entry's end can lose it.
    bool recorded = false;
};

} // namespace cyclamenlatch::quota
