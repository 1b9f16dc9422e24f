// What entries tell the one that leads the moves about the demand that they see. Counts are
// totals since the entry's start, so that lost, late and repeated messages cost nothing.
#pragma once

#include "global/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace cyclamenlatch::capacity {

struct PoolSample
{
    PoolId pool;
    // Requests handed in since the entry's start, those refused included.
    std::uint64_t arrivals = 0;
    // Requests that wait now.
    std::uint32_t queued = 0;
    // Seconds that a request runs; 0 when not known.
    double runTime = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(pool, arrivals, queued, runTime);
    }
};

// From the leader: asks for an answer.
struct DemandPoll
{
    template<class Archive>
    void serialize(Archive &)
    {}
};

struct DemandAnswer
{
    // Pools that the entry ever had a request for.
    std::vector<PoolSample> pools;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(pools);
    }
};

using DemandMessage = std::variant<DemandPoll, DemandAnswer>;

} // namespace cyclamenlatch::capacity
