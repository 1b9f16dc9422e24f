// What one entry holds of the workspaces' limits and runs against them.
#pragma once

#include "global/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::quota {

struct LimitUse
{
    std::string workspace;
    std::uint32_t held = 0;
    std::uint32_t running = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(workspace, held, running);
    }
};

struct EntryLimits
{
    EntryId entry;
    DataCentreId dataCentre;
    // False when the entry gave no answer in time.
    bool answered = false;
    std::vector<LimitUse> uses;
};

} // namespace cyclamenlatch::quota
