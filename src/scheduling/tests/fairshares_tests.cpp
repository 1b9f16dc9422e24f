// Workspaces that compete for a pool with too little room.
#include "scheduling/fairshares.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling {
namespace {

using namespace std::chrono_literals;

TEST(FairShares, measuresLeadsInSecondsOfTheOwnShare)
{
    FairShares shares;
    shares.beginRound("pool", {{"a", 1}, {"b", 3}});
    EXPECT_DOUBLE_EQ(shares.ownSeconds("pool", 1, 0.5), 2);
    shares.charge("pool", "a", 1, 0.5);
    shares.charge("pool", "b", 3, 0.75);
    EXPECT_DOUBLE_EQ(shares.lead("pool", "a"), 2);
    EXPECT_DOUBLE_EQ(shares.lead("pool", "b"), 1);
    // Time goes on to the one that is behind.
    shares.beginRound("pool", {{"a", 1}, {"b", 3}});
    EXPECT_DOUBLE_EQ(shares.lead("pool", "b"), 0);
    EXPECT_DOUBLE_EQ(shares.lead("pool", "a"), 1);
}

TEST(FairShares, givesNoClaimForTimeWithoutDemand)
{
    FairShares shares;
    for (int second = 0; second < 100; ++second) {
        shares.beginRound("pool", {{"a", 1}});
        shares.charge("pool", "a", 1, 1);
    }
    shares.beginRound("pool", {{"a", 1}, {"late", 1}});
    EXPECT_DOUBLE_EQ(shares.lead("pool", "late"), 0);
    EXPECT_LE(shares.lead("pool", "a"), 2);
}

TEST(FairShares, waitsOnlySoLongForOneThatNeverCatchesUp)
{
    FairShares shares;
    for (int second = 0; second < 100; ++second) {
        shares.beginRound("pool", {{"a", 1}, {"stuck", 1}});
        shares.charge("pool", "a", 1, 1);
    }
    EXPECT_LE(shares.lead("pool", "a"), 5);
}

TEST(FairShares, forgetsUseThatNobodyElseWanted)
{
    FairShares shares;
    shares.beginRound("pool", {{"a", 1}});
    shares.charge("pool", "a", 1, 1);
    shares.keepBusy({});
    shares.beginRound("pool", {{"a", 1}, {"b", 1}});
    EXPECT_DOUBLE_EQ(shares.lead("pool", "a"), 0);
}

class Competition : public tests::OwnerFixture, public testing::Test
{
protected:
    void setWeights(double first, double second)
    {
        auto rules = tests::makeRules();
        for (auto &queue : rules.queues) {
            queue.targetLatency = 60s;
        }
        rules.workspaces.clear();
        for (const auto &[name, weight] : {std::pair{"first", first}, {"second", second}}) {
            WorkspaceRule workspace;
            workspace.name = name;
            workspace.weight = weight;
            rules.workspaces.push_back(workspace);
        }
        core.setRules(rules, now);
    }

    // Plays a pool of 16 cores for ten seconds: whatever is started ends a second later.
    // Returns the numbers of tasks of either workspace that were started.
    std::pair<int, int> play()
    {
        std::pair<int, int> started;
        std::uint64_t number = 0;
        for (int second = 0; second < 10; ++second) {
            const auto starts = startAll();
            std::vector<EndedRun> ends;
            for (const auto &start : starts) {
                (start.task.job < 1000 ? started.first : started.second) += 1;
                ends.push_back(end(++number, start, RunOutcome::Done));
            }
            advance(1s);
            report("t-1", {}, ends);
        }
        return started;
    }
};

// Load pattern: one workspace sends many times what another one sends, all of it before the other.
TEST_F(Competition, sharesAFullPoolByWeightWhoeverSendsMore)
{
    setWeights(100, 100);
    join("t-1");
    for (JobNumber job = 1; job <= 100; ++job) {
        submit(job, {tests::makeStep(4)}, "first");
    }
    for (JobNumber job = 1001; job <= 1030; ++job) {
        submit(job, {tests::makeStep(4)}, "second");
    }
    const auto [first, second] = play();
    EXPECT_EQ(first + second, 160);
    EXPECT_GE(second, 72);
    EXPECT_GE(first, 72);
}

TEST_F(Competition, givesTheHeavierWorkspaceMore)
{
    setWeights(300, 100);
    join("t-1");
    for (JobNumber job = 1; job <= 100; ++job) {
        submit(job, {tests::makeStep(4)}, "first");
        submit(1000 + job, {tests::makeStep(4)}, "second");
    }
    const auto [first, second] = play();
    EXPECT_EQ(first + second, 160);
    EXPECT_NEAR(first, 120, 16);
}

TEST_F(Competition, leavesToOthersWhatAWorkspaceDoesNotAskFor)
{
    setWeights(100, 100);
    join("t-1");
    for (JobNumber job = 1; job <= 100; ++job) {
        submit(job, {tests::makeStep(4)}, "first");
    }
    submit(1001, {tests::makeStep(4)}, "second");
    const auto [first, second] = play();
    EXPECT_EQ(first, 156);
    EXPECT_EQ(second, 4);
}

// Load pattern: a backlog in which the oldest jobs can no longer be of any use.
TEST_F(Competition, takesJobsThatAreStillOfUseBeforeThoseThatAreNot)
{
    join("t-1");
    auto wide = tests::makeStep(16);
    submit(1, {wide}, "space");
    auto starts = startAll();
    ASSERT_EQ(starts.size(), 16U);
    submit(2, {wide}, "space");
    // Objective 2.6 s, of use for 7.8 s.
    advance(7s);
    submit(3, {wide}, "space");
    std::vector<EndedRun> ends;
    ends.reserve(starts.size());
    for (const auto &start : starts) {
        ends.push_back(end(ends.size() + 1, start, RunOutcome::Done));
    }
    report("t-1", {}, ends);
    starts = startAll();
    ASSERT_EQ(starts.size(), 16U);
    EXPECT_EQ(starts.front().task.job, 3U);
}

} // namespace
} // namespace cyclamenlatch::scheduling
