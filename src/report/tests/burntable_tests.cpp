// Windows, merging through digests and snapshots, and what replacing an entry loses.
#include "report/burntable.h"

#include "global/random.h"
#include "report/fleetreport.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

namespace cyclamenlatch::report {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

// The same cases on each run; set RC_PARAMS to explore others.
[[maybe_unused]] const int seedIsFixed = setenv("RC_PARAMS", "seed=20261203", 0);

const WallTime start{hours(1000)};
const BurnKey swaps{ServiceId("swaps"), WorkspaceId("drivers")};

OutcomeCounts longest(const BurnTable &table, WallTime now)
{
    return table.windows(now)[swaps].counts.back();
}

TEST(BurnRate, followsTheWorkbook)
{
    // 0.1 % bad against an objective of 99.9 %: the budget lasts its window.
    EXPECT_NEAR(burnRate(0.001, 0.999), 1, 1e-9);
    EXPECT_NEAR(budgetLeft(burnRate(0.0005, 0.999)), 0.5, 1e-9);
    EXPECT_EQ(timeToExhaustion(0.5, 0), std::nullopt);
    EXPECT_EQ(timeToExhaustion(-0.1, 2), seconds(0));
    // Half the budget of three days at ten times the rate: 3.6 hours.
    EXPECT_EQ(timeToExhaustion(0.5, 10), seconds(12960));
}

TEST(WindowCounts, forgetsWhatIsOlderThanTheWindow)
{
    WindowCounts counts;
    counts.add({1, 0}, minutes(5), start);
    counts.add({0, 1}, minutes(5), start + minutes(4));
    EXPECT_EQ(counts.sum(minutes(5), start + minutes(4)), (OutcomeCounts{1, 1}));
    EXPECT_EQ(counts.sum(minutes(5), start + minutes(6)), (OutcomeCounts{0, 1}));
    EXPECT_EQ(counts.sum(minutes(5), start + hours(1)), (OutcomeCounts{}));
}

TEST(BurnTable, replacedEntryLosesOnlyWhatItAloneSaw)
{
    BurnTable first({"e-a", 1});
    BurnTable second({"e-b", 1});
    for (int index = 0; index < 10; ++index) {
        first.record(swaps, index != 0, start);
    }
    second.noteDigest(first.makeDigest(false), start);
    // Seen after the last digest: gone with the entry.
    first.record(swaps, true, start);
    second.record(swaps, true, start);

    BurnTable replacement({"e-a", 2});
    for (const auto &snapshot : second.makeSnapshots(10)) {
        replacement.noteSnapshot(snapshot, start);
    }
    EXPECT_EQ(longest(replacement, start), (OutcomeCounts{10, 1}));
    // What the peer tells next is not counted twice.
    second.record(swaps, false, start);
    replacement.noteDigest(second.makeDigest(true), start);
    EXPECT_EQ(longest(replacement, start), (OutcomeCounts{10, 2}));

    second.noteDigest(replacement.makeDigest(true), start + seconds(60));
    FleetReport report;
    report.sources = second.sourceAges(start + seconds(60));
    const auto notes = completenessNotes(report);
    ASSERT_EQ(notes.size(), 1U);
    EXPECT_NE(notes[0].find("e-a was replaced"), std::string::npos);
    EXPECT_NE(notes[0].find("60 s"), std::string::npos);
}

// Whatever digests are lost, repeated or late, all tables agree after one full exchange.
RC_GTEST_PROP(BurnTable, convergesAfterLostAndRepeatedDigests, (std::uint32_t seed))
{
    constexpr std::size_t tableCount = 3;
    constexpr int steps = 200;
    Random random(seed);
    std::vector<BurnTable> tables;
    for (std::size_t index = 0; index < tableCount; ++index) {
        tables.emplace_back(BurnSource{"e-" + std::to_string(index), 1});
    }
    std::vector<BurnDigest> sent;
    OutcomeCounts truth;
    for (int step = 0; step < steps; ++step) {
        auto &table = tables[uniformBelow(random, tableCount)];
        const auto choice = uniformBelow(random, 4);
        if (choice == 0) {
            sent.push_back(table.makeDigest(uniformBelow(random, 2) == 0));
        } else if (choice == 1 && !sent.empty()) {
            const auto index = uniformBelow(random, static_cast<std::uint32_t>(sent.size()));
            table.noteDigest(sent[index], start);
        } else {
            const bool good = uniformBelow(random, 2) == 0;
            table.record(swaps, good, start);
            truth += good ? OutcomeCounts{1, 0} : OutcomeCounts{0, 1};
        }
    }
    for (auto &from : tables) {
        for (auto &to : tables) {
            to.noteDigest(from.makeDigest(true), start);
        }
    }
    for (const auto &table : tables) {
        RC_ASSERT(longest(table, start) == truth);
    }
}

} // namespace
} // namespace cyclamenlatch::report
