// The fleet's outcomes by service and workspace over several windows, as one entry knows them:
// its own, and those of every other entry up to that entry's last digest. Not thread-safe.
#pragma once

#include "report/burndigest.h"
#include "report/burnrate.h"

#include <map>
#include <vector>

namespace cyclamenlatch::report {

struct BurnWindows
{
    std::array<OutcomeCounts, burnWindows.size()> counts;
};

// How recent an entry's part of the table is.
struct SourceAge
{
    BurnSource source;
    std::chrono::milliseconds sinceDigest{0};
    // A newer start of the same entry is known: what this one saw after its last digest is lost.
    bool replaced = false;
};

class BurnTable
{
public:
    explicit BurnTable(BurnSource self)
        : m_self(std::move(self))
    {}

    void record(const BurnKey &key, bool good, WallTime now);
    void noteDigest(const BurnDigest &digest, WallTime now);
    // The totals that changed since the last digest, or all of them.
    BurnDigest makeDigest(bool all);

    // Snapshots of at most maxRows keys each.
    std::vector<BurnSnapshot> makeSnapshots(std::size_t maxRows) const;
    // Takes over keys that this table doesn't know from others yet.
    void noteSnapshot(const BurnSnapshot &snapshot, WallTime now);

    std::map<BurnKey, BurnWindows> windows(WallTime now) const;
    // Every other entry that is known, oldest digest first.
    std::vector<SourceAge> sourceAges(WallTime now) const;

private:
    using Rings = std::array<WindowCounts, burnWindows.size()>;
    struct Source
    {
        std::map<BurnKey, OutcomeCounts> seen;
        WallTime lastDigest;
    };

    static void add(Rings &rings, const OutcomeCounts &counts, WallTime now);

    BurnSource m_self;
    std::map<BurnKey, Rings> m_rings;
    std::map<BurnKey, OutcomeCounts> m_own;
    std::map<BurnKey, OutcomeCounts> m_told;
    // Invariant: m_rings holds, of each source, exactly what is in Source::seen, less what has
    // aged out.
    std::map<BurnSource, Source> m_sources;
};

} // namespace cyclamenlatch::report
