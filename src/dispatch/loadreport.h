// The message in which an entry reports its load to its peers. Rows that it leaves out have not
// changed much; a report without rows shows that the entry is alive.
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
