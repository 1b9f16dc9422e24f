// The fleet document survives a round trip, and every mistake is reported at once.
#include "fleet/fleetyaml.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace cyclamenlatch::fleet {
namespace {

constexpr const char *wholeDocument = R"(
dataCentres:
  - {name: dc-a, region: west}
pools:
  - {name: swaps}
workers:
  - {name: w-1, dataCentre: dc-a, rack: r-1, pool: swaps, minion: "127.0.0.1:9001",
     labels: {tier: gold}, processors: 16, memoryMib: 65536}
services:
  - {name: swaps, pool: swaps, maxUnavailable: 2}
queues:
  - {name: swaps, service: swaps, selector: "tier=gold", timeoutMs: 2000}
workspaces:
  - {name: drivers, weight: 3, limit: 40}
keys:
  - {name: k-1, workspace: drivers, hash: abcd}
)";

TEST(FleetYaml, survivesRoundTrip)
{
    const auto first = readFleet(wholeDocument);
    ASSERT_TRUE(first.mistakes.empty()) << first.mistakes.front().toString();
    EXPECT_EQ(first.document.workers.front().labels.at("tier"), "gold");
    const auto second = readFleet(writeFleet(first.document));
    ASSERT_TRUE(second.mistakes.empty()) << second.mistakes.front().toString();
    EXPECT_EQ(second.document, first.document);
}

TEST(FleetYaml, reportsEveryMistakeAtOnceWithLineAndRemedy)
{
    const auto reading = readFleet(R"(
pools:
  - {name: swaps, colour: red}
workers:
  - {name: w-1, dataCentre: nowhere, rack: r-1, pool: swaps, minion: "127.0.0.1:1", slots: 0}
queues:
  - {name: swaps, service: missing, selector: "a="}
)");
    ASSERT_EQ(reading.mistakes.size(), 5U);
    EXPECT_EQ(reading.mistakes[0].line, 3);
    for (const auto &mistake : reading.mistakes) {
        EXPECT_FALSE(mistake.remedy.empty()) << mistake.message;
    }
}

TEST(FleetYaml, refusesTextThatIsNotUtf8WithItsLine)
{
    const auto reading = readFleet("pools:\n  - {name: swaps}\n  - {name: \"dc-\xff\"}\n");
    ASSERT_EQ(reading.mistakes.size(), 1U);
    EXPECT_EQ(reading.mistakes.front().line, 3);
    EXPECT_TRUE(readFleet("pools:\n  - {name: bếp-chung}\n").mistakes.empty());
}

TEST(FleetYaml, reportsMistakesBetweenItemsWithTheirLines)
{
    const auto reading = readFleet(R"(
dataCentres: [{name: dc-a}]
pools: [{name: p}, {name: q}]
workers:
  - {name: w-1, dataCentre: dc-a, rack: r-1, pool: p, minion: "127.0.0.1:1"}
  - {name: w-2, dataCentre: dc-a, rack: r-1, pool: p, minion: "127.0.0.1:1"}
  - {name: w-1, dataCentre: dc-a, rack: r-1, pool: q, minion: "127.0.0.1:3"}
services:
  - {name: s, pool: p, maxUnavailable: 2}
queues:
  - {name: c, service: s, selector: "tier=gold"}
  - {name: d, service: nowhere}
)");
    std::vector<int> lines;
    for (const auto &mistake : reading.mistakes) {
        lines.push_back(mistake.line);
        EXPECT_FALSE(mistake.remedy.empty()) << mistake.message;
    }
    EXPECT_EQ(lines, (std::vector<int>{7, 6, 9, 11, 12}));
}

TEST(FleetYaml, acceptsWhatCantBeMetAndTellsIt)
{
    const auto reading = readFleet(R"(
dataCentres: [{name: dc-a}]
pools: [{name: p}, {name: empty}]
workers:
  - {name: w-1, dataCentre: dc-a, rack: r-1, pool: p, minion: "127.0.0.1:1", slots: 8}
  - {name: w-2, dataCentre: dc-a, rack: r-1, pool: p, minion: "127.0.0.1:2", slots: 4}
services:
  - {name: served, pool: p}
  - {name: unserved, pool: empty}
  - {name: fixed, pool: p, maxUnavailable: 0}
workspaces:
  - {name: met, limit: 12}
  - {name: unmet, limit: 13}
  - {name: barred, limit: 0}
keys:
  - {name: k, workspace: barred, hash: x}
)");
    EXPECT_TRUE(reading.mistakes.empty());
    std::vector<int> lines;
    for (const auto &notice : reading.notices) {
        lines.push_back(notice.line);
        EXPECT_FALSE(notice.remedy.empty()) << notice.message;
    }
    EXPECT_EQ(lines, (std::vector<int>{9, 10, 13, 14}));
}

TEST(FleetYaml, jobsMayTakeALimitAboveTheSlots)
{
    const auto reading = readFleet(R"(
dataCentres: [{name: dc-a}]
pools: [{name: p}]
workers:
  - {name: w-1, dataCentre: dc-a, rack: r-1, pool: p, minion: "127.0.0.1:1", processors: 16}
workspaces: [{name: drivers, limit: 100}]
)");
    EXPECT_TRUE(reading.notices.empty());
}

TEST(FleetYaml, exampleDeploymentsHaveNoMistakes)
{
    for (const std::string name : {"fremantle-quayside", "bep-chung"}) {
        std::ifstream file(std::string(CYCLAMENLATCH_TEST_DATA) + "/../../../examples/" + name
                           + ".yaml");
        std::ostringstream text;
        text << file.rdbuf();
        const auto reading = readFleet(text.str());
        EXPECT_TRUE(reading.mistakes.empty()) << reading.mistakes.front().toString();
        EXPECT_EQ(reading.document.services.size(), 5U);
        EXPECT_EQ(reading.document.workspaces.size(), 6U);
        const auto parts = writeFleetParts(reading.document, 2000);
        EXPECT_GT(parts.size(), 7U);
        EXPECT_EQ(readFleetParts(parts).document, reading.document);
    }
}

TEST(FleetYaml, refusesBrokenYamlWithItsLine)
{
    const auto reading = readFleet("pools:\n  - {name: [");
    ASSERT_EQ(reading.mistakes.size(), 1U);
    EXPECT_GT(reading.mistakes[0].line, 0);
}

} // namespace
} // namespace cyclamenlatch::fleet
