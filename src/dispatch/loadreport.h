// The message in which an entry tells its peers its load. Rows that it leaves out have not changed
// much; an empty digest says that the entry lives.
#pragma once

#include "dispatch/loadrow.h"

#include <cereal/types/vector.hpp>

#include <vector>

namespace cyclamenlatch::dispatch {

struct LoadReport
{
    std::vector<LoadRow> rows;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(rows);
    }
};

} // namespace cyclamenlatch::dispatch
