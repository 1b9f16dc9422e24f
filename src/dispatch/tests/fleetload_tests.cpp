// Division of slots among entries that report their load to each other.
#include "dispatch/fleetload.h"
#include "dispatch/loadreporter.h"
#include "dispatch/namehash.h"
#include "membership/peermessage.h"

#include <gtest/gtest.h>

#include <numeric>

namespace cyclamenlatch::dispatch {
namespace {

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr unsigned slots = 8;

std::shared_ptr<const routing::RoutingTable> makeTable(unsigned workers)
{
    fleet::FleetDocument fleet;
    fleet.services.push_back({ServiceId("s"), PoolId("p"), 1});
    for (const auto *name : {"q", "special", "urgent"}) {
        fleet::Queue queue;
        queue.id = QueueId(name);
        queue.service = ServiceId("s");
        queue.urgent = queue.id.value() == "urgent";
        fleet.queues.push_back(queue);
    }
    fleet.queues[1].selector = fleet::Selector::parse("special=true").value();
    for (unsigned index = 0; index < workers; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId("w-" + std::to_string(index));
        worker.pool = PoolId("p");
        worker.slots = slots;
        worker.minionAddress = worker.id.value();
        if (index == 0) {
            worker.labels["special"] = "true";
        }
        fleet.workers.push_back(worker);
    }
    fleet.workspaces.push_back({WorkspaceId("large"), 3, 1000});
    fleet.workspaces.push_back({WorkspaceId("small"), 1, 1000});
    return std::make_shared<const routing::RoutingTable>(fleet);
}

EntryLoad load(const std::string &queue, const std::string &workspace, unsigned demand)
{
    return {{{QueueId(queue), WorkspaceId(workspace)}, {demand}}};
}

LoadReport reportOf(const EntryLoad &load)
{
    LoadReporter reporter;
    return reporter.next(load, 1, start).value();
}

// A group of entries that have received each other's load reports.
class Group
{
public:
    Group(const std::vector<EntryLoad> &loads, unsigned workers)
        : m_loads(loads)
    {
        const auto table = makeTable(workers);
        for (std::size_t index = 0; index < loads.size(); ++index) {
            m_entries.emplace_back(idOf(index));
            m_entries.back().setTable(table);
        }
        for (std::size_t from = 0; from < loads.size(); ++from) {
            for (std::size_t to = 0; to < loads.size(); ++to) {
                if (from != to) {
                    m_entries[to].receive(idOf(from), 1, reportOf(loads[from]), start);
                }
            }
        }
    }

    SlotShares shares(std::size_t entry, TimePoint now = start)
    {
        return m_entries[entry].shares(m_loads[entry], now);
    }
    unsigned total(std::size_t entry)
    {
        const auto all = shares(entry);
        return std::accumulate(all.begin(), all.end(), 0U);
    }

private:
    static EntryId idOf(std::size_t index) { return EntryId("e-" + std::to_string(index)); }

    std::vector<EntryLoad> m_loads;
    std::vector<FleetLoad> m_entries;
};

TEST(FleetLoad, entriesWithTheSameReportsDivideEachMinionExactly)
{
    Group group({load("q", "large", 7), load("q", "small", 300), load("urgent", "small", 9)}, 40);
    std::vector<unsigned> sums(40);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const auto shares = group.shares(entry);
        for (std::size_t worker = 0; worker < shares.size(); ++worker) {
            sums[worker] += shares[worker];
        }
    }
    EXPECT_EQ(sums, std::vector<unsigned>(40, slots));
}

TEST(FleetLoad, fullMinionsAreDividedByTheWorkspaceWeightsOfEachEntry)
{
    Group group({load("q", "large", 9999), load("q", "small", 9999)}, 400);
    EXPECT_NEAR(group.total(0), 400 * slots * 0.75, 400 * 0.1);
    EXPECT_NEAR(group.total(1), 400 * slots * 0.25, 400 * 0.1);
}

TEST(FleetLoad, urgentDemandGoesFirst)
{
    Group group({load("urgent", "small", 100), load("q", "large", 9999)}, 100);
    EXPECT_NEAR(group.total(0), 100, 15);
}

TEST(FleetLoad, unclaimedSlotsAreDividedEqually)
{
    Group group({load("q", "small", 100), {}}, 100);
    EXPECT_NEAR(group.total(0), 100 * (1 + 3.5), 15);
    EXPECT_NEAR(group.total(1), 100 * 3.5, 15);
}

TEST(FleetLoad, demandCountsOnlyOnWorkersThatItsQueueMatches)
{
    Group group({load("special", "small", 9999), load("q", "small", 9999)}, 100);
    const auto shares = group.shares(0);
    EXPECT_GT(shares[0], 0U);
    EXPECT_EQ(std::accumulate(shares.begin() + 1, shares.end(), 0U), 0U);
}

TEST(FleetLoad, entryWithoutLivePeersUsesAllSlots)
{
    Group group({load("q", "small", 9999), load("q", "small", 9999)}, 10);
    EXPECT_LT(group.total(0), 10 * slots);
    const auto shares = group.shares(0, start + std::chrono::seconds(4));
    EXPECT_EQ(shares, SlotShares(10, slots));
}

TEST(FleetLoad, remoteUseIsReturnedOnceAndCountsFromTheFirstReport)
{
    FleetLoad entry(EntryId("e-0"));
    entry.setTable(makeTable(10));
    const auto receiveReport = [&](std::uint64_t incarnation, std::uint32_t used) {
        entry.receive(EntryId("e-1"), incarnation, {{{nameHash("q"), nameHash("small"), 1, used}}},
                      start);
    };
    // The total wraps around between the reports.
    receiveReport(1, 0xffffff00U);
    EXPECT_TRUE(entry.takeRemoteUse().empty());
    receiveReport(1, 0x00000100U);
    receiveReport(1, 0x000000f0U);
    const auto uses = entry.takeRemoteUse();
    ASSERT_EQ(uses.size(), 1U);
    EXPECT_EQ(uses[0].workspace, WorkspaceId("small"));
    EXPECT_DOUBLE_EQ(uses[0].seconds, 0x1f0 * 0.01);
    EXPECT_TRUE(entry.takeRemoteUse().empty());
    // A new incarnation starts a new total.
    receiveReport(2, 0x10U);
    EXPECT_TRUE(entry.takeRemoteUse().empty());
}

TEST(FleetLoad, reportOfAnEarlierIncarnationIsIgnored)
{
    FleetLoad entry(EntryId("e-0"));
    entry.setTable(makeTable(10));
    entry.receive(EntryId("e-1"), 2, reportOf(load("q", "small", 9999)), start);
    const auto before = entry.shares(load("q", "small", 9999), start);
    entry.receive(EntryId("e-1"), 1, {{{nameHash("q"), nameHash("small"), 0}}}, start);
    EXPECT_EQ(entry.shares(load("q", "small", 9999), start), before);
}

TEST(LoadReporter, staysWithinItsByteRateAndReportsEveryRow)
{
    // Every row changes on each tick: 150 queues, 280 workspaces, 7 peers.
    constexpr std::size_t peers = 7;
    constexpr int seconds = 600;
    constexpr std::size_t envelopeBytes = 180;
    EntryLoad rows;
    LoadReporter reporter;
    std::map<std::pair<NameHash, NameHash>, TimePoint> reportedAt;
    std::size_t bytes = 0;
    for (int tick = 0; tick < seconds * 10; ++tick) {
        const auto now = start + std::chrono::milliseconds(100) * tick;
        for (unsigned workspace = 0; workspace < 280; ++workspace) {
            for (unsigned queue = workspace % 50; queue < 150; queue += 50) {
                rows[{QueueId("q-" + std::to_string(queue)),
                      WorkspaceId("ws-" + std::to_string(workspace))}] = {1U + 50 * (tick % 2),
                                                                          1.0 * tick};
            }
        }
        if (const auto report = reporter.next(rows, peers, now)) {
            bytes += peers * (envelopeBytes + membership::encode(*report).size());
            for (const auto &row : report->rows) {
                reportedAt[{row.queue, row.workspace}] = now;
            }
        }
    }
    EXPECT_LE(bytes / seconds, 4400U);
    EXPECT_EQ(reportedAt.size(), rows.size());
}

TEST(LoadReporter, reportsChangesAtOnceAndNothingElse)
{
    LoadReporter reporter;
    EXPECT_EQ(reporter.next(load("q", "small", 5), 2, start)->rows.size(), 1U);
    const auto next = start + std::chrono::milliseconds(200);
    EXPECT_FALSE(reporter.next(load("q", "small", 5), 2, next));
    EXPECT_EQ(reporter.next(load("q", "small", 50), 2, next)->rows.at(0).demand, 50);
    auto now = next + std::chrono::milliseconds(200);
    EXPECT_EQ(reporter.next(load("q", "small", 0), 2, now)->rows.at(0).demand, 0);
    // The row is repeated in case a message was lost, then no longer sent.
    for (const std::size_t rows : {1U, 1U, 0U, 0U}) {
        now += std::chrono::seconds(4);
        EXPECT_EQ(reporter.next(load("q", "small", 0), 2, now)->rows.size(), rows);
    }
}

} // namespace
} // namespace cyclamenlatch::dispatch
