// What entries tell each other about outcomes. Totals only grow, so a lost, late or repeated
// digest costs nothing: the next one covers it.
#pragma once

#include "report/burnkey.h"
#include "report/windowcounts.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::report {

// One start of one entry; its totals begin at zero.
struct BurnSource
{
    std::string entry;
    std::uint64_t incarnation = 0;

    auto operator<=>(const BurnSource &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(entry, incarnation);
    }
};

struct BurnTotal
{
    BurnKey key;
    // Since the source's start.
    OutcomeCounts counts;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, counts);
    }
};

struct BurnDigest
{
    BurnSource source;
    std::vector<BurnTotal> totals;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(source, totals);
    }
};

// A part of an entry's merged windows, for an entry that has just started.
struct BurnSnapshot
{
    struct Row
    {
        BurnKey key;
        std::array<WindowCounts, 4> windows;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(key, windows);
        }
    };
    // What of each source the windows contain.
    struct SourceTotal
    {
        BurnSource source;
        BurnTotal total;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(source, total);
        }
    };

    std::vector<Row> rows;
    std::vector<SourceTotal> sources;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(rows, sources);
    }
};

} // namespace cyclamenlatch::report
