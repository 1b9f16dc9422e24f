// The promises to callers with real processes, while links and processes fail.
#include "tests/integration/callerload.h"
#include "tests/integration/testfleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <future>
#include <iostream>

namespace cyclamenlatch {
namespace {

using testing::CallerAnswer;
using testing::CallerLoad;
using testing::TestFleet;

std::string keyMintedNow(const std::string &home, const std::string &name)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return fmt::format("{}-{}-{}", home, now.count(), name);
}

// What was said not to have run has not run, and nothing ran twice.
void expectTrueOutcomes(TestFleet &fleet, const testing::LoadCounts &counts)
{
    EXPECT_EQ(counts.wrong, 0U);
    EXPECT_EQ(fleet.ledgerSum("duplicates"), 0U);
    for (const auto &nonce : counts.notRunNonces) {
        EXPECT_EQ(fleet.runsOf(nonce), 0U) << nonce;
    }
}

TEST(Failures, rollingReplacementOfAllEntriesCutsNoRequest)
{
    TestFleet fleet(2, 3);
    CallerLoad load(fleet, "once", 20, 6);
    load.awaitCompleted(50);
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry) {
        fleet.stopEntry(entry);
        fleet.startEntry(entry);
        TestFleet::await([&] { return fleet.isReady(entry); });
        load.awaitCompleted(20);
    }
    const auto counts = load.stop();
    EXPECT_EQ(counts.lost, 0U);
    EXPECT_EQ(counts.unknown, 0U);
    expectTrueOutcomes(fleet, counts);
}

TEST(Failures, connectionsThatGoSilentAreReplacedByNewOnes)
{
    TestFleet fleet(1, 2);
    CallerLoad load(fleet, "again", 5, 4);
    load.awaitCompleted(50);
    fleet.actOnLink(0, "silence");
    fleet.actOnLink(1, "silence");
    load.awaitCompleted(100);
    const auto counts = load.stop();
    EXPECT_EQ(counts.wrong, 0U);
    EXPECT_EQ(counts.lost, 0U);
}

TEST(Failures, truncatedAnswersAreNeverRelayed)
{
    TestFleet fleet(1, 2);
    CallerLoad load(fleet, "once", 5, 4);
    load.awaitCompleted(20);
    fleet.setLink(0, {{"truncateAfter", 90}});
    load.awaitCompleted(100);
    const auto counts = load.stop();
    EXPECT_EQ(counts.lost, 0U);
    expectTrueOutcomes(fleet, counts);
}

TEST(Failures, crossedAnswersAreNeverRelayed)
{
    TestFleet fleet(1, 2);
    CallerLoad load(fleet, "once", 5, 6);
    load.awaitCompleted(20);
    fleet.setLink(0, {{"cross", true}});
    load.awaitCompleted(60);
    fleet.setLink(0, {{"cross", false}});
    load.awaitCompleted(40);
    const auto counts = load.stop();
    EXPECT_EQ(counts.lost, 0U);
    expectTrueOutcomes(fleet, counts);
}

TEST(Failures, resetConnectionsEndWithTrueOutcomes)
{
    TestFleet fleet(1, 2);
    CallerLoad load(fleet, "once", 30, 6);
    for (int round = 0; round < 10; ++round) {
        load.awaitCompleted(10);
        fleet.actOnLink(round % 2, "reset");
    }
    const auto counts = load.stop();
    EXPECT_EQ(counts.lost, 0U);
    expectTrueOutcomes(fleet, counts);
}

TEST(Failures, sixEntriesShareTheSlotsAndConnectionsOfOneMinion)
{
    constexpr std::uint64_t slots = 8;
    // 64 connections, less 2 for health checks, divided by the 8 entries of the settings.
    constexpr std::uint64_t connectionsPerEntry = 7;
    TestFleet fleet(2, 1);
    CallerLoad load(fleet, "once", 50, 48);
    std::uint64_t mostRunning = 0;
    // Alone, the entries would run the workspace's whole limit of 24.
    TestFleet::await([&] {
        fleet.setMinion(0, {{"forgetPeaks", true}});
        load.awaitCompleted(100);
        mostRunning = fleet.ledgerSum("mostRunning");
        return mostRunning <= slots + 3;
    });
    const auto mostConnections = fleet.ledgerSum("mostConnections");
    std::cout << "most running " << mostRunning << ", most connections " << mostConnections << "\n";
    EXPECT_LE(mostConnections, fleet.entryCount() * connectionsPerEntry);
    const auto counts = load.stop();
    EXPECT_EQ(counts.lost, 0U);
    expectTrueOutcomes(fleet, counts);
}

TEST(Failures, storeOutageCutsNoRequest)
{
    TestFleet fleet(1, 2);
    CallerLoad load(fleet, "once", 5, 4);
    load.awaitCompleted(50);
    fleet.setPlatform({{"outage", true}});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(6);
    TestFleet::await([&] { return std::chrono::steady_clock::now() >= end; });
    load.awaitCompleted(50);
    fleet.setPlatform({{"outage", false}});
    load.awaitCompleted(50);
    const auto counts = load.stop();
    EXPECT_EQ(counts.lost, 0U);
    EXPECT_EQ(counts.unknown, 0U);
    EXPECT_EQ(counts.notRun, 0U);
    expectTrueOutcomes(fleet, counts);
}

TEST(Failures, requestOfKilledEntryRunsOnceWhenItsCallerTriesAgain)
{
    TestFleet fleet(2, 2);
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        const auto nonce = fmt::format("killed-{}", round);
        const auto key = keyMintedNow("dc-b", fmt::format("round{:05}", round));
        std::promise<CallerAnswer> promise;
        fleet.submitLater(0, "once", nonce, 300, key,
                          [&promise](CallerAnswer answer) { promise.set_value(answer); });
        auto first = promise.get_future();
        TestFleet::await([&] {
            return fleet.runsOf(nonce) > 0
                   || first.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        });
        fleet.killEntry(0);
        first.wait();
        const auto again = fleet.submit(2, "once", nonce, 300, key);
        EXPECT_NE(again.outcome, "");
        EXPECT_LE(fleet.runsOf(nonce), 1U);
        fleet.startEntry(0);
        TestFleet::await([&] { return fleet.isReady(0); });
    }
}

// The same key comes to every other entry while the first one runs it; in one round its home data
// centre is silent meanwhile. At the end the owner knows the answer.
TEST(Failures, keyRunsOnceWhicheverEntriesItIsSentTo)
{
    TestFleet fleet(2, 2);
    const std::vector<std::size_t> homeEntries{1, 4};
    constexpr int rounds = 3;
    constexpr int workMs = 3000;
    int granted = 0;
    for (int round = 0; granted < rounds; ++round) {
        const bool isHomeSilent = granted == 1;
        const auto nonce = fmt::format("shared-{}", round);
        const auto key = keyMintedNow("dc-b", fmt::format("shared{:05}", round));
        std::promise<CallerAnswer> promise;
        fleet.submitLater(0, "once", nonce, workMs, key,
                          [&promise](CallerAnswer answer) { promise.set_value(answer); });
        auto first = promise.get_future();
        TestFleet::await([&] {
            return fleet.runsOf(nonce) > 0
                   || first.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        });
        if (fleet.runsOf(nonce) == 0) {
            // Owners that have just started grant no key.
            continue;
        }
        ++granted;
        if (isHomeSilent) {
            fleet.pauseEntry(homeEntries[0]);
            fleet.pauseEntry(homeEntries[1]);
        }
        for (const std::size_t entry : {2U, 3U, 5U}) {
            EXPECT_NE(fleet.submit(entry, "once", nonce, workMs, key).outcome, "");
            EXPECT_EQ(fleet.runsOf(nonce), 1U);
        }
        fleet.resumeEntry(homeEntries[0]);
        fleet.resumeEntry(homeEntries[1]);
        EXPECT_EQ(first.get().outcome, "completed");
        CallerAnswer again;
        TestFleet::await([&] {
            again = fleet.submit(2, "once", nonce, workMs, key);
            return again.outcome == "completed";
        });
        EXPECT_EQ(again.body.value("nonce", ""), nonce);
        EXPECT_EQ(fleet.runsOf(nonce), 1U);
    }
}

} // namespace
} // namespace cyclamenlatch
