// Tests of assignments, automatic moves, learned sizes and placement.
#include "capacity/assignmentplanner.h"
#include "capacity/burstestimate.h"
#include "capacity/moveplanner.h"
#include "capacity/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace cyclamenlatch::capacity {
namespace {

const WorkerId worker("w-1");
const PoolId swaps("swaps");
const PoolId spare("spare");
const PoolId rosters("rosters");

// A store of assignments that applies the planner's writes.
class AssignmentWorld
{
public:
    explicit AssignmentWorld(unsigned workers = 1)
    {
        for (unsigned index = 1; index <= workers; ++index) {
            fleet::Worker entry;
            entry.id = WorkerId("w-" + std::to_string(index));
            entry.pool = spare;
            fleet.workers.push_back(entry);
        }
        for (const auto &pool : {spare, swaps, rosters}) {
            fleet.pools.push_back({pool});
        }
        view.fleet = &fleet;
    }

    void setPool(const PoolId &pool) { fleet.workers[0].pool = pool; }

    // One pass; every draining worker is quiet when told so.
    void pass(bool quiet)
    {
        view.quiet.clear();
        for (const auto &[id, found] : view.assignments) {
            if (quiet && found.assignment.step == AssignmentStep::Draining) {
                view.quiet[id] = found.revision;
            }
        }
        for (const auto &write : planAssignments(view, 1)) {
            apply(write);
        }
    }

    bool apply(const store::StoreWrite &write)
    {
        const auto changed = readAssignment(write.value).value();
        auto &kept = view.assignments[changed.worker];
        if (kept.revision != write.expected) {
            return false;
        }
        moves += kept.revision > 0 && kept.assignment.pool != changed.pool ? 1 : 0;
        kept = {changed, ++m_revision};
        return true;
    }

    WorkerAssignment first() const { return assignmentOf(view, fleet.workers[0]).assignment; }

    fleet::FleetDocument fleet;
    AssignmentView view;
    unsigned moves = 0;

private:
    store::StoreRevision m_revision = 0;
};

TEST(Assignments, AMoveDrainsBeforeItJoins)
{
    AssignmentWorld world;
    // The first pass records the pool that the document names.
    world.pass(false);
    EXPECT_EQ(world.view.assignments.at(worker).assignment.pool, spare);
    world.setPool(swaps);
    world.pass(true);
    EXPECT_EQ(world.first().step, AssignmentStep::Claiming);
    EXPECT_EQ(world.first().pool, spare);
    world.pass(false);
    EXPECT_EQ(world.first().step, AssignmentStep::Draining);
    EXPECT_EQ(world.first().pool, spare);
    world.pass(false);
    EXPECT_EQ(world.first().pool, spare) << "left before it was quiet";
    world.pass(true);
    EXPECT_EQ(world.first().pool, swaps);
    EXPECT_EQ(world.first().step, AssignmentStep::Serving);
    EXPECT_EQ(world.moves, 1U);
}

TEST(Assignments, RecordsManyNewWorkersBitByBit)
{
    AssignmentWorld world(100);
    world.view.newRecords = 30;
    for (std::size_t expected : {30U, 60U, 90U, 100U, 100U}) {
        world.pass(false);
        EXPECT_EQ(world.view.assignments.size(), expected);
    }
}

TEST(Assignments, AConfirmationOfAnOlderRecordIsNotEnough)
{
    AssignmentWorld world;
    WorkerAssignment recorded{worker, spare, swaps, spare, AssignmentStep::Draining, "a", 0};
    world.apply({assignmentKey(worker), writeAssignment(recorded), 0, ""});
    world.view.quiet[worker] = world.view.assignments[worker].revision - 1;
    EXPECT_TRUE(planAssignments(world.view, 1).empty());
}

TEST(Assignments, OfTwoRacingWritesOneWins)
{
    AssignmentWorld world;
    WorkerAssignment toSwaps{worker, spare, swaps, spare, AssignmentStep::Serving, "a", 0};
    auto toRosters = toSwaps;
    toRosters.desired = rosters;
    EXPECT_TRUE(world.apply({assignmentKey(worker), writeAssignment(toSwaps), 0, ""}));
    EXPECT_FALSE(world.apply({assignmentKey(worker), writeAssignment(toRosters), 0, ""}));
    EXPECT_EQ(world.first().desired, swaps);
}

RC_GTEST_PROP(Assignments, MistakenRevisionsCostNothingWhenTheLastIsRight, ())
{
    AssignmentWorld world;
    WorkerAssignment recorded{worker, spare, spare, spare, AssignmentStep::Serving, "fleet", 0};
    world.apply({assignmentKey(worker), writeAssignment(recorded), 0, ""});
    const auto mistaken = *rc::gen::inRange(1, 8);
    for (int index = 0; index < mistaken; ++index) {
        world.setPool(*rc::gen::element(swaps, rosters, spare));
        // Not quiet for as long as the revisions come.
        world.pass(false);
    }
    world.setPool(spare);
    for (int index = 0; index < 3; ++index) {
        world.pass(true);
    }
    RC_ASSERT(world.first().pool == spare);
    RC_ASSERT(world.first().step == AssignmentStep::Serving);
    RC_ASSERT(world.moves == 0U);
}

RC_GTEST_PROP(Assignments, EveryMoveEndsAndDrainsAreBounded, ())
{
    AssignmentWorld world(6);
    for (const auto &entry : world.fleet.workers) {
        WorkerAssignment recorded{entry.id, spare, spare, spare, AssignmentStep::Serving, "x", 0};
        world.apply({assignmentKey(entry.id), writeAssignment(recorded), 0, ""});
    }
    for (auto &entry : world.fleet.workers) {
        entry.pool = *rc::gen::element(swaps, rosters, spare);
    }
    for (int index = 0; index < 40; ++index) {
        world.pass(*rc::gen::arbitrary<bool>());
        std::map<PoolId, unsigned> draining;
        for (const auto &[id, found] : world.view.assignments) {
            if (found.assignment.step == AssignmentStep::Draining) {
                RC_ASSERT(++draining[found.assignment.pool] <= world.view.drainsPerPool);
            }
        }
    }
    for (int index = 0; index < 20; ++index) {
        world.pass(true);
    }
    for (const auto &entry : world.fleet.workers) {
        RC_ASSERT(assignmentOf(world.view, entry).assignment.pool == entry.pool);
    }
}

TEST(Assignments, TheDocumentInUseHasEveryWorkerInItsRealPool)
{
    AssignmentWorld world(2);
    WorkerAssignment recorded{worker, swaps, swaps, spare, AssignmentStep::Serving, "a", 0};
    world.apply({assignmentKey(worker), writeAssignment(recorded), 0, ""});
    const auto document = withAssignments(world.fleet, world.view.assignments);
    EXPECT_EQ(document.workers[0].pool, swaps);
    EXPECT_EQ(document.workers[1].pool, spare);
}

PoolDemand demandOf(double load, double remaining)
{
    PoolDemand demand;
    demand.pool = swaps;
    demand.workers = {WorkerId("a"), WorkerId("b")};
    demand.arrivalRate = load * 2 * demand.slotsPerWorker / demand.runTime;
    demand.longArrivalRate = demand.arrivalRate;
    demand.overloadRemaining = remaining;
    return demand;
}

PoolDemand spareDemand()
{
    PoolDemand demand;
    demand.pool = spare;
    demand.workers = {WorkerId("w-17"), WorkerId("w-18")};
    return demand;
}

TEST(MovePlanner, ABurstShorterThanTheMoveMovesNothing)
{
    EXPECT_TRUE(planMoves(spareDemand(), {demandOf(2, 10)}, {}).empty());
}

TEST(MovePlanner, ALongOverloadIsWorthAMoveAndSaysWhy)
{
    const auto decisions = planMoves(spareDemand(), {demandOf(2, 60)}, {});
    ASSERT_FALSE(decisions.empty());
    EXPECT_EQ(decisions[0].worker, WorkerId("w-17"));
    EXPECT_GT(decisions[0].waitSaved, decisions[0].cost);
    const auto text = decisions[0].toString();
    EXPECT_NE(text.find("moved w-17 from spare to swaps: expected wait saved"), std::string::npos);
}

TEST(MovePlanner, HeavierWeightOfMovesNeedsMoreSavedWait)
{
    auto demand = demandOf(1.01, 30);
    MoveSettings settings;
    ASSERT_FALSE(planMoves(spareDemand(), {demand}, settings).empty());
    settings.weights.moves = 1000;
    EXPECT_TRUE(planMoves(spareDemand(), {demand}, settings).empty());
}

TEST(MovePlanner, ALentWorkerGoesBackOnlyAfterItsDwell)
{
    auto demand = demandOf(0.1, 0);
    demand.lent = {WorkerId("b")};
    demand.sinceLent = 1;
    EXPECT_TRUE(planMoves(spareDemand(), {demand}, {}).empty());
    demand.sinceLent = 1000;
    const auto decisions = planMoves(spareDemand(), {demand}, {});
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].to, spare);
}

TEST(RunTimeEstimate, LearnsWhatTheDeclaredSizeGetsWrong)
{
    RunTimeEstimate estimate(4);
    EXPECT_EQ(estimate.median(), 4);
    for (int index = 0; index < 1000; ++index) {
        estimate.add(1 + (index % 100) / 100.0);
    }
    EXPECT_NEAR(estimate.median(), 1.5, 0.05);
    EXPECT_NEAR(estimate.highQuantile(), 1.95, 0.05);
}

TEST(BurstEstimate, ExpectsTheUsualLengthAndThenAsLongAgain)
{
    BurstEstimate bursts;
    double now = 0;
    for (int index = 0; index < 20; ++index) {
        bursts.observe(true, now);
        bursts.observe(false, now + 10);
        now += 100;
    }
    EXPECT_EQ(bursts.remaining(now), 0);
    bursts.observe(true, now);
    EXPECT_NEAR(bursts.remaining(now + 4), 6, 0.1);
    EXPECT_NEAR(bursts.remaining(now + 50), 50, 0.1);
}

TEST(Placement, LeavesLargeHolesWhole)
{
    const fleet::Resources size{16, 64, 0};
    const std::vector<WorkerRoom> rooms{{WorkerId("a"), size, {16, 64, 0}},
                                        {WorkerId("b"), size, {4, 16, 0}},
                                        {WorkerId("c"), size, {8, 32, 0}}};
    EXPECT_EQ(bestFit({4, 16, 0}, rooms), 1U);
    EXPECT_EQ(bestFit({10, 8, 0}, rooms), 0U);
    EXPECT_EQ(bestFit({17, 8, 0}, rooms), std::nullopt);
}

TEST(Placement, KeepsAcceleratorsForWorkThatNeedsThem)
{
    const std::vector<WorkerRoom> rooms{{WorkerId("a"), {16, 64, 4}, {4, 16, 4}},
                                        {WorkerId("b"), {16, 64, 0}, {16, 64, 0}}};
    EXPECT_EQ(bestFit({4, 16, 0}, rooms), 1U);
    EXPECT_EQ(bestFit({4, 16, 1}, rooms), 0U);
}

} // namespace
} // namespace cyclamenlatch::capacity
