// What the entry that leads the jobs tells the others: how many jobs of a workspace wait.
#pragma once

#include "global/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace cyclamenlatch::jobs {

struct WaitingCount
{
    WorkspaceId workspace;
    std::uint32_t jobs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(workspace, jobs);
    }
};

struct WaitingMessage
{
    // Those workspaces of which the most wait; the others have fewer than any of these.
    std::vector<WaitingCount> counts;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(counts);
    }
};

} // namespace cyclamenlatch::jobs
