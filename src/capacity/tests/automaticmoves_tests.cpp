// The loop that moves workers by itself, over a store of records on a virtual clock: pool leaders
// that are killed, act on old readings and lose writes, beside a maintenance wave.
#include "capacity/assignmentplanner.h"
#include "capacity/automaticmoves.h"
#include "maintenance/maintenancerecords.h"
#include "maintenance/recordjson.h"
#include "maintenance/waveplanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace cyclamenlatch::capacity {
namespace {

const PoolId swaps("swaps");
const PoolId spare("spare");
const WaveId wave("wave-1");
constexpr std::int64_t tick = 250;

class Store
{
public:
    bool apply(const store::StoreWrite &write)
    {
        auto &item = m_items[write.key];
        if (item.revision != write.expected) {
            return false;
        }
        item = {write.key, write.value, "", ++m_revision, false};
        return true;
    }

    store::StoreListing list(const std::string &prefix) const
    {
        store::StoreListing listing{m_revision, {}};
        for (const auto &[key, item] : m_items) {
            if (item.revision > 0 && key.starts_with(prefix)) {
                listing.items.push_back(item);
            }
        }
        return listing;
    }

private:
    std::map<std::string, store::StoreItem> m_items;
    store::StoreRevision m_revision = 0;
};

// A reading of the records, which may be old.
struct Reading
{
    explicit Reading(const Store &store)
    {
        records.take(store.list(maintenance::recordPrefix));
        for (const auto &item : store.list(assignmentPrefix).items) {
            const auto assignment = readAssignment(item.value).value();
            assignments[assignment.worker] = {assignment, item.revision};
        }
    }

    maintenance::MaintenanceRecords records;
    std::unordered_map<WorkerId, VersionedAssignment> assignments;
};

fleet::FleetDocument makeFleet()
{
    fleet::FleetDocument fleet;
    fleet.dataCentres.push_back({DataCentreId("dc"), "r"});
    fleet.pools.push_back({swaps});
    fleet.pools.push_back({spare, true});
    fleet.pools.back().lending.moveSeconds = 1;
    fleet.services.push_back({ServiceId("swaps"), swaps, 2});
    fleet::Queue queue;
    queue.id = QueueId("swaps");
    queue.service = ServiceId("swaps");
    fleet.queues.push_back(queue);
    for (unsigned index = 0; index < 8; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId("w-" + std::to_string(index));
        worker.dataCentre = DataCentreId("dc");
        worker.pool = index < 4 ? swaps : spare;
        fleet.workers.push_back(worker);
    }
    fleet.buildIndex();
    return fleet;
}

class World
{
public:
    World()
        : fleet(makeFleet())
    {
        for (const auto &worker : fleet.workers) {
            WorkerAssignment assignment{worker.id, worker.pool, worker.pool, worker.pool};
            assignment.setBy = "fleet";
            store.apply({assignmentKey(worker.id), writeAssignment(assignment), 0, ""});
        }
    }

    maintenance::BudgetTable budgets(const Reading &reading) const
    {
        return maintenance::budgetsOf(withAssignments(fleet, reading.assignments), {});
    }

    // Half again as much as the pool's own workers can do, or none.
    std::unordered_map<PoolId, PoolLoad> loads() const
    {
        PoolLoad load;
        load.runTime = 0.1;
        load.arrivalRate = load.longArrivalRate = busy ? 1.5 * 4 * 8 / load.runTime : 0;
        return {{swaps, load}};
    }

    std::vector<DecidedMove> decide(AutomaticMoves &moves, const Reading &reading) const
    {
        LendingView view;
        view.fleet = &fleet;
        view.assignments = &reading.assignments;
        view.loads = loads();
        view.now = now;
        for (const auto &[name, ledger] : reading.records.ledgers()) {
            for (const auto &claim : ledger.record.claims) {
                if (!attemptOf(claim.wave)) {
                    view.out.insert(claim.worker);
                }
            }
        }
        return moves.decide(view);
    }

    std::vector<store::StoreWrite> planMoves(const Reading &reading) const
    {
        AssignmentView view;
        view.fleet = &fleet;
        view.assignments = reading.assignments;
        view.ledgers.records = reading.records.ledgers();
        view.ledgers.budgets = budgets(reading);
        for (const auto &[worker, found] : reading.assignments) {
            if (found.assignment.step == AssignmentStep::Draining) {
                view.quiet[worker] = found.revision;
            }
        }
        return planAssignments(view, now);
    }

    std::vector<store::StoreWrite> planWave(const Reading &reading) const
    {
        const auto &found = reading.records.waves().at(wave);
        maintenance::WaveView view;
        view.dataCentre = DataCentreId("dc");
        view.wave = found;
        view.hosts = reading.records.hosts(wave);
        view.ledgers = reading.records.ledgers();
        view.budgets = budgets(reading);
        for (const auto &worker : fleet.workers) {
            view.placement[worker.id] = worker.dataCentre;
        }
        for (const auto &[worker, host] : view.hosts) {
            view.observed.quiet[worker] = host.revision;
            if (host.record.step == maintenance::HostStep::Rebooting) {
                view.observed.finishedReboots.insert(host.record.rebootAttempt());
            }
        }
        std::vector<store::StoreWrite> writes;
        for (const auto &action : maintenance::planWave(view, now)) {
            if (const auto *write = std::get_if<store::StoreWrite>(&action)) {
                writes.push_back(*write);
            }
        }
        return writes;
    }

    void startWave()
    {
        maintenance::WaveRecord record;
        record.wave = wave;
        record.settings.slowStart = std::chrono::milliseconds(0);
        for (const auto &worker : fleet.workers) {
            record.hosts.push_back(worker.id);
        }
        store.apply({maintenance::waveKey(wave), maintenance::writeRecord(record), 0, ""});
    }

    // One pass of a pool leader that has read everything.
    void pass(AutomaticMoves &moves)
    {
        now += tick;
        const Reading reading(store);
        for (const auto &move : decide(moves, reading)) {
            decisions += store.apply(move.write) ? move.decision.toString() + "\n" : "";
        }
        for (const auto &write : planMoves(Reading(store))) {
            store.apply(write);
        }
    }

    std::vector<WorkerAssignment> in(AssignmentStep step) const
    {
        std::vector<WorkerAssignment> found;
        for (const auto &[worker, kept] : Reading(store).assignments) {
            if (kept.assignment.step == step) {
                found.push_back(kept.assignment);
            }
        }
        return found;
    }

    std::size_t workersOf(const PoolId &pool) const
    {
        std::size_t count = 0;
        for (const auto &[worker, kept] : Reading(store).assignments) {
            count += kept.assignment.pool == pool ? 1 : 0;
        }
        return count;
    }

    std::size_t claims() const
    {
        std::size_t count = 0;
        const Reading reading(store);
        for (const auto &[name, ledger] : reading.records.ledgers()) {
            count += ledger.record.claims.size();
        }
        return count;
    }

    Store store;
    fleet::FleetDocument fleet;
    bool busy = false;
    std::int64_t now = 1;
    std::string decisions;
};

TEST(AutomaticMoves, ALongOverloadBorrowsAWorkerAndGivesItBack)
{
    World world;
    AutomaticMoves moves;
    world.busy = true;
    for (int index = 0; index < 200; ++index) {
        world.pass(moves);
    }
    EXPECT_NE(world.decisions.find("from spare to swaps: expected wait saved"), std::string::npos);
    EXPECT_GT(world.workersOf(swaps), 4U);
    EXPECT_EQ(world.claims(), 0U);
    world.busy = false;
    for (int index = 0; index < 200; ++index) {
        world.pass(moves);
    }
    EXPECT_NE(world.decisions.find("from swaps to spare: no longer needed"), std::string::npos);
    EXPECT_EQ(world.workersOf(swaps), 4U);
}

TEST(AutomaticMoves, TheSettingSwitchesThemOff)
{
    World world;
    world.fleet.pools[1].lending.automatic = false;
    AutomaticMoves moves;
    world.busy = true;
    for (int index = 0; index < 200; ++index) {
        world.pass(moves);
    }
    EXPECT_EQ(world.decisions, "");
    EXPECT_EQ(world.workersOf(spare), 4U);
}

TEST(AutomaticMoves, OnlyWorkersThatSuitAQueueAreLent)
{
    World world;
    world.fleet.queues[0].selector = fleet::Selector::parse("service=swaps").value();
    world.fleet.workers[6].labels["service"] = "swaps";
    AutomaticMoves moves;
    world.busy = true;
    for (int index = 0; index < 200; ++index) {
        world.pass(moves);
    }
    EXPECT_EQ(world.workersOf(swaps), 5U);
    EXPECT_NE(world.decisions.find("moved w-6 from spare"), std::string::npos);
}

TEST(AutomaticMoves, AnotherLeaderFinishesTheMoveOfAKilledOne)
{
    for (const auto killedAt : {AssignmentStep::Claiming, AssignmentStep::Draining}) {
        World world;
        world.busy = true;
        AutomaticMoves killed;
        while (world.in(killedAt).empty()) {
            ASSERT_LT(world.now, 60000) << "no move began";
            world.pass(killed);
        }
        const auto moved = world.in(killedAt).front();
        world.busy = false;
        AutomaticMoves next;
        for (int index = 0; index < 10; ++index) {
            world.pass(next);
        }
        const auto after = Reading(world.store).assignments.at(moved.worker).assignment;
        EXPECT_EQ(after.pool, swaps);
        EXPECT_EQ(after.step, AssignmentStep::Serving);
        EXPECT_EQ(after.attempt, 1U) << "the move began twice";
        EXPECT_EQ(world.claims(), 0U);
    }
}

TEST(AutomaticMoves, AWorkerWhosePoolIsGoneGoesHome)
{
    World world;
    WorkerAssignment lent{WorkerId("w-5"), swaps, swaps, spare};
    lent.setBy = automaticMover;
    const auto found = Reading(world.store).assignments.at(lent.worker);
    world.store.apply({assignmentKey(lent.worker), writeAssignment(lent), found.revision, ""});
    world.fleet.pools.erase(world.fleet.pools.begin());
    world.fleet.buildIndex();
    AutomaticMoves moves;
    for (int index = 0; index < 20; ++index) {
        world.pass(moves);
    }
    EXPECT_EQ(Reading(world.store).assignments.at(lent.worker).assignment.pool, spare);
}

void checkNobodyIsTakenTwice(const World &world)
{
    const Reading reading(world.store);
    for (const auto &[worker, found] : reading.assignments) {
        const auto host = reading.records.hosts(wave).find(worker);
        const bool inWave = host != reading.records.hosts(wave).end()
                            && maintenance::isLeaving(host->second.record.step);
        RC_ASSERT(!(inWave && found.assignment.step == AssignmentStep::Draining));
    }
    for (const auto &budget : world.budgets(reading).budgets) {
        std::set<WorkerId> out;
        for (const auto &worker : budget.members) {
            const auto host = reading.records.hosts(wave).find(worker);
            if (host != reading.records.hosts(wave).end()
                && maintenance::isLeaving(host->second.record.step)) {
                out.insert(worker);
            }
            if (reading.assignments.at(worker).assignment.step == AssignmentStep::Draining) {
                out.insert(worker);
            }
        }
        RC_ASSERT(out.size() <= budget.maxOut);
    }
}

RC_GTEST_PROP(AutomaticMoves, TwoLeadersAndAWaveNeverTakeTheSameWorker, ())
{
    World world;
    world.startWave();
    struct Leader
    {
        AutomaticMoves moves;
        Reading reading;
    };
    std::vector<Leader> leaders(2, Leader{{}, Reading(world.store)});
    Reading waveReading(world.store);
    // By worker and attempt, where the move went.
    std::map<std::pair<WorkerId, std::uint64_t>, PoolId> moves;
    const auto apply = [&](const std::vector<store::StoreWrite> &writes) {
        for (const auto &write : writes) {
            const bool isLost = *rc::gen::inRange(0, 8) == 0;
            if (isLost || !world.store.apply(write)) {
                continue;
            }
            checkNobodyIsTakenTwice(world);
            if (write.key.starts_with(assignmentPrefix)) {
                const auto changed = readAssignment(write.value).value();
                if (changed.step == AssignmentStep::Claiming) {
                    const auto known = moves.emplace(std::pair(changed.worker, changed.attempt),
                                                     changed.desired);
                    RC_ASSERT(known.second || known.first->second == changed.desired);
                }
            }
        }
    };
    for (int step = 0; step < 150; ++step) {
        world.now += tick;
        world.busy = step / 50 % 2 == 0;
        const auto actor = *rc::gen::inRange(0, 3);
        const bool readsAnew = *rc::gen::inRange(0, 3) > 0;
        if (actor == 2) {
            waveReading = readsAnew ? Reading(world.store) : waveReading;
            apply(world.planWave(waveReading));
            continue;
        }
        auto &leader = leaders[static_cast<std::size_t>(actor)];
        leader.reading = readsAnew ? Reading(world.store) : leader.reading;
        for (const auto &move : world.decide(leader.moves, leader.reading)) {
            apply({move.write});
        }
        apply(world.planMoves(leader.reading));
    }
    // Whatever happened, moves and the wave end, and no claim is left.
    world.busy = false;
    AutomaticMoves lastMoves;
    const auto isDone = [&] {
        return Reading(world.store).records.waves().at(wave).record.state
                       == maintenance::WaveState::Done
               && world.in(AssignmentStep::Serving).size() == world.fleet.workers.size()
               && world.claims() == 0;
    };
    for (int step = 0; step < 400 && !isDone(); ++step) {
        world.pass(lastMoves);
        for (const auto &write : world.planWave(Reading(world.store))) {
            world.store.apply(write);
        }
    }
    RC_ASSERT(isDone());
}

TEST(DemandBook, MakesRatesOfTotalsAndForgetsTheSilent)
{
    DemandBook book;
    const TimePoint start{};
    const EntryId entry("e-1");
    for (int second = 0; second <= 20; ++second) {
        const auto total = static_cast<std::uint64_t>(second) * 50;
        book.take(entry, 1, {{{swaps, total, 3, 0.2}}}, start + std::chrono::seconds(second));
    }
    const auto load = book.loads(start + std::chrono::seconds(20)).at(swaps);
    EXPECT_NEAR(load.arrivalRate, 50, 0.1);
    EXPECT_EQ(load.queued, 3);
    EXPECT_NEAR(load.runTime, 0.2, 1e-9);
    // An answer that was overtaken, and one of an earlier life.
    book.take(entry, 1, {{{swaps, 10, 3, 0.2}}}, start + std::chrono::seconds(21));
    book.take(entry, 0, {{{swaps, 9000, 3, 0.2}}}, start + std::chrono::seconds(21));
    EXPECT_NEAR(book.loads(start + std::chrono::seconds(21)).at(swaps).arrivalRate, 50, 0.1);
    EXPECT_TRUE(book.loads(start + std::chrono::seconds(60)).empty());
}

} // namespace
} // namespace cyclamenlatch::capacity
