// The rules for maintenance waves and for moves between pools, each by itself.
#include "scheduling/hostplanner.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

class HostPlannerFixture
{
public:
    HostPlannerFixture()
        : planner({}, fixture.core, fixture.now, true, [](const auto &, const auto &) {})
    {
        auto rules = makeRules();
        rules.services.push_back({"off", false, true});
        rules.services.push_back({"other", false, false});
        planner.setRules(rules);
        fixture.core.setRules(rules, fixture.now);
    }

    void add(const std::string &name, const std::string &pool = "pool",
             const std::string &dataCentre = "a")
    {
        HostInfo host;
        host.name = name;
        host.pool = pool;
        host.dataCentre = dataCentre;
        host.state = HostState::Up;
        host.capacity = Resources{16000, 64000, 0};
        if (pool != "off") {
            host.target = "t-" + name;
            fixture.service = pool;
            fixture.join(host.target);
        }
        hosts.push_back(host);
    }

    // Adds a host whose target is listed and has not answered yet.
    void addUncontacted(const std::string &name)
    {
        HostInfo host;
        host.name = name;
        host.pool = "pool";
        host.state = HostState::Up;
        host.target = "t-" + name;
        fixture.service = host.pool;
        fixture.list(host.target);
        hosts.push_back(host);
    }

    HostInfo &host(const std::string &name)
    {
        return *std::find_if(hosts.begin(), hosts.end(),
                             [&](const auto &host) { return host.name == name; });
    }

    // Plans, stores the hosts that are to be ordered, and plans again, as the caller of the planner
    // does in production.
    std::vector<HostOrder> plan() { return plan(planner); }

    std::vector<HostOrder> plan(HostPlanner &holder)
    {
        holder.hostsListed(hosts, fixture.now);
        auto orders = holder.plan(fixture.now);
        if (auto ordered = holder.hostsToRecord(fixture.now)) {
            holder.hostsRecorded(std::move(*ordered));
            const auto more = holder.plan(fixture.now);
            orders.insert(orders.end(), more.begin(), more.end());
        }
        return orders;
    }

    OwnerFixture fixture;
    std::vector<HostInfo> hosts;
    HostPlanner planner;
};

} // namespace

TEST(HostPlanner, takesNoMoreHostsDownThanAWaveAllows)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c", "d"}) {
        hosts.add(name);
    }
    hosts.planner.requestWave({1, {"a", "b", "c", "d"}, 10s, 2}, {}, {}, hosts.fixture.now);
    const auto orders = hosts.plan();
    ASSERT_EQ(orders.size(), 2U);
    for (const auto &order : orders) {
        hosts.planner.answered(order, HostOrderResult::Accepted, hosts.fixture.now);
    }
    EXPECT_TRUE(hosts.plan().empty());
}

TEST(HostPlanner, completesAWaveOnlyAfterEveryMaintenanceWasAccepted)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.planner.requestWave({1, {"a"}, 10s, 1}, {}, {}, hosts.fixture.now);
    const auto orders = hosts.plan();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(hosts.planner.takeChangedWave()->isCompleted);
    hosts.planner.answered(orders[0], HostOrderResult::OutcomeUnknown, hosts.fixture.now);
    hosts.plan();
    EXPECT_FALSE(hosts.planner.takeChangedWave().has_value());
    hosts.planner.answered(orders[0], HostOrderResult::Accepted, hosts.fixture.now);
    hosts.plan();
    EXPECT_TRUE(hosts.planner.takeChangedWave()->isCompleted);
}

// A task could run twice: maintenance that an earlier owner had ordered was accepted as done, and
// the tasks on the host's next target were started elsewhere although they were still running.
TEST(HostPlanner, keepsTheRunsOfATargetThatAnAcceptedOrderDidNotTakeDown)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(hosts.fixture.startAll().size(), 1U);
    hosts.planner.requestWave({1, {"a"}, 2s, 1}, {}, {}, hosts.fixture.now);
    hosts.plan();
    hosts.fixture.advance(8s);
    hosts.fixture.core.keepAliveOrder("t-a", hosts.fixture.now);
    hosts.fixture.report("t-a", {}, {});
    const auto orders = hosts.plan();
    hosts.fixture.join("t2");
    for (const auto &order : orders) {
        hosts.planner.answered(order, HostOrderResult::Accepted, hosts.fixture.now);
    }
    EXPECT_NE(hosts.fixture.core.target("t-a"), nullptr);
    hosts.plan();
    EXPECT_NE(hosts.fixture.core.target("t-a"), nullptr);
    hosts.host("a").state = HostState::Maintenance;
    hosts.plan();
    EXPECT_EQ(hosts.fixture.core.target("t-a"), nullptr);
}

TEST(HostPlanner, waitsBeforeItOrdersAfterAnEarlierHolder)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    HostPlanner successor({}, hosts.fixture.core, hosts.fixture.now, false,
                          [](const auto &, const auto &) {});
    successor.setOrderedBefore({"a"});
    successor.requestWave({1, {"a"}, 10s, 1}, {}, {}, hosts.fixture.now);
    for (int second = 0; second < 3; ++second) {
        EXPECT_TRUE(hosts.plan(successor).empty());
        hosts.fixture.advance(1s);
    }
    hosts.fixture.advance(1s);
    EXPECT_EQ(hosts.plan(successor).size(), 1U);
}

// Guards against a late order of an earlier holder: it is carried out while another host, which the
// next holder has ordered, is down, and two are down for a wave that allows one.
TEST(HostPlanner, countsHostsThatAnEarlierHolderMayHaveOrderedUntilItsOrdersAreFencedOff)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c"}) {
        hosts.add(name);
    }
    // The one with most load, which would come last.
    hosts.fixture.submit(7, {makeStep(3)});
    ASSERT_EQ(hosts.fixture.startAll().size(), 3U);
    HostPlanner successor({}, hosts.fixture.core, hosts.fixture.now, false,
                          [](const auto &, const auto &) {});
    hosts.planner.requestWave({1, {"a"}, 10s, 1}, {}, 9s, hosts.fixture.now);
    hosts.planner.hostsListed(hosts.hosts, hosts.fixture.now);
    hosts.planner.plan(hosts.fixture.now);
    const auto recorded = hosts.planner.hostsToRecord(hosts.fixture.now);
    ASSERT_TRUE(recorded);
    hosts.fixture.core.setHostDraining("t-a", false);
    successor.setOrderedBefore(*recorded);
    successor.requestWave({1, {"a", "b", "c"}, 10s, 1}, {}, 9s, hosts.fixture.now);
    std::vector<HostOrder> orders;
    for (int step = 0; step < 60 && orders.empty(); ++step) {
        hosts.fixture.advance(100ms);
        orders = hosts.plan(successor);
    }
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(std::get<MaintenanceOrder>(orders[0]).host, "a");
}

// Guards against a wave over its limit after a change of owners in a pool's peak: hosts that the
// earlier holder had ordered to move were ordered down all at once.
TEST(HostPlanner, keepsToTheLimitOfAWaveWhoseHostsWereOrderedToMoveBefore)
{
    HostPlannerFixture hosts;
    std::set<std::string> names;
    for (int number = 0; number < 9; ++number) {
        hosts.add("h" + std::to_string(number));
        names.insert("h" + std::to_string(number));
    }
    for (const bool isForMaintenance : {false, true}) {
        HostPlanner successor({}, hosts.fixture.core, hosts.fixture.now, false,
                              [](const auto &, const auto &) {});
        auto ordered = names;
        for (const auto &name : names) {
            if (isForMaintenance) {
                ordered.insert(name + " maintenance");
            }
        }
        successor.setOrderedBefore(ordered);
        successor.requestWave({1, {names.begin(), names.end()}, 10s, 2}, {}, 9s, hosts.fixture.now);
        std::size_t sent = 0;
        for (int step = 0; step < 60; ++step) {
            hosts.fixture.advance(100ms);
            sent += hosts.plan(successor).size();
        }
        EXPECT_EQ(sent, 2U);
        for (const auto &name : names) {
            hosts.fixture.core.setHostDraining("t-" + name, false);
        }
    }
}

// Guards against holders that alternate: the record of an owner replaces that of the owner before,
// and a third one may follow within the cooldown.
TEST(HostPlanner, recordsTheHostsThatAnEarlierHolderMayHaveOrdered)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c"}) {
        hosts.add(name);
    }
    HostPlanner successor({}, hosts.fixture.core, hosts.fixture.now, false,
                          [](const auto &, const auto &) {});
    successor.setOrderedBefore({"a"});
    const auto recordWhen = [&](const std::string &ordered, std::uint64_t wave) {
        successor.requestWave({wave, {ordered}, 10s, 1}, {}, {}, hosts.fixture.now);
        successor.hostsListed(hosts.hosts, hosts.fixture.now);
        EXPECT_TRUE(successor.plan(hosts.fixture.now).empty());
        return successor.hostsToRecord(hosts.fixture.now).value_or(std::set<std::string>{});
    };
    hosts.fixture.advance(1s);
    EXPECT_EQ(recordWhen("b", 1), (std::set<std::string>{"a", "b", "b maintenance"}));
    hosts.fixture.advance(2500ms);
    EXPECT_EQ(recordWhen("c", 2),
              (std::set<std::string>{"b", "b maintenance", "c", "c maintenance"}));
}

TEST(HostPlanner, sendsNoMoreOrdersThanThePlatformTakes)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
        hosts.add(name);
    }
    HostPlannerSettings settings;
    settings.ordersPerSecond = 2;
    HostPlanner planner(settings, hosts.fixture.core, hosts.fixture.now, true,
                        [](const auto &, const auto &) {});
    planner.requestWave({1, {"a", "b", "c", "d", "e", "f"}, 10s, 6}, {}, {}, hosts.fixture.now);
    EXPECT_EQ(hosts.plan(planner).size(), 2U);
    EXPECT_TRUE(hosts.plan(planner).empty());
    hosts.fixture.advance(500ms);
    EXPECT_EQ(hosts.plan(planner).size(), 1U);
}

// Under overload, hosts were drained for 4 s beyond the end of their wave.
TEST(HostPlanner, drainsAHostForLessTimeWhenItsWaveIsNearItsEnd)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.fixture.submit(7, {makeStep(1)});
    ASSERT_EQ(hosts.fixture.startAll().size(), 1U);
    hosts.planner.requestWave({1, {"a"}, 10s, 1}, {}, 7500ms, hosts.fixture.now);
    EXPECT_TRUE(hosts.plan().empty());
    hosts.fixture.advance(600ms);
    EXPECT_EQ(hosts.plan().size(), 1U);
}

// Maintenance ordered by an earlier holder counts against the wave's limit of concurrent hosts,
// both where the list shows it and where it may not show it yet.
TEST(HostPlanner, countsMaintenanceOfAnEarlierHolderAgainstTheWaveLimit)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c", "d"}) {
        hosts.add(name);
    }
    HostPlanner successor({}, hosts.fixture.core, hosts.fixture.now, false,
                          [](const auto &, const auto &) {});
    successor.setOrderedBefore({"a"});
    hosts.host("b").state = HostState::Maintenance;
    successor.requestWave({1, {"a", "b", "c", "d"}, 10s, 3}, {"b"}, {}, hosts.fixture.now);
    hosts.addUncontacted("z");
    EXPECT_TRUE(hosts.plan(successor).empty());
    hosts.fixture.report("t-z", {}, {});
    const auto orders = hosts.plan(successor);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(std::get<MaintenanceOrder>(orders[0]).host, "c");
}

// A change of owners during a pool's peak: three seconds without any moves cost most of the peak.
TEST(HostPlanner, delaysOnlyHostsThatAnEarlierHolderMayHaveOrdered)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c"}) {
        hosts.add(name);
    }
    hosts.add("x", "off");
    hosts.add("y", "off");
    HostPlanner successor({}, hosts.fixture.core, hosts.fixture.now, false,
                          [](const auto &, const auto &) {});
    auto rules = makeRules();
    rules.services.push_back({"off", false, true});
    successor.setRules(rules);
    successor.setOrderedBefore({"x"});
    for (JobNumber id = 1; id <= 40; ++id) {
        hosts.fixture.submit(id, {makeStep(8, 900)});
    }
    hosts.fixture.startAll();
    hosts.addUncontacted("z");
    EXPECT_TRUE(hosts.plan(successor).empty());
    hosts.fixture.core.keepAliveFailed("t-z", hosts.fixture.now);
    const auto orders = hosts.plan(successor);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(std::get<MoveOrder>(orders[0]).host, "y");
    hosts.fixture.advance(3200ms);
    for (JobNumber id = 41; id <= 80; ++id) {
        hosts.fixture.submit(id, {makeStep(8, 900)});
    }
    const auto rest = hosts.plan(successor);
    ASSERT_EQ(rest.size(), 1U);
    EXPECT_EQ(std::get<MoveOrder>(rest[0]).host, "x");
}

// After an outage of the store, entries of targets are missing for some time, and their runs are
// not known.
TEST(HostPlanner, treatsATargetThatIsNotListedAsBusy)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.add("b");
    hosts.fixture.core.targetHostDown("t-a", hosts.fixture.now);
    hosts.planner.requestWave({1, {"a", "b"}, 10s, 2}, {}, {}, hosts.fixture.now);
    const auto orders = hosts.plan();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(std::get<MaintenanceOrder>(orders[0]).host, "b");
}

TEST(HostPlanner, waitsAtMostASecondForTargetsThatWereNotContacted)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.addUncontacted("z");
    HostPlanner successor({}, hosts.fixture.core, hosts.fixture.now, false,
                          [](const auto &, const auto &) {});
    successor.requestWave({1, {"a"}, 10s, 1}, {}, {}, hosts.fixture.now);
    EXPECT_TRUE(hosts.plan(successor).empty());
    hosts.fixture.advance(1s);
    EXPECT_EQ(hosts.plan(successor).size(), 1U);
}

// A data centre became unreachable during a pool's peak: 16 hosts were on their way to the pool,
// half of them in that data centre, so that no other hosts were moved.
TEST(HostPlanner, movesNoHostFromAnUnreachableDataCentre)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.add("x", "off", "unreachable");
    hosts.add("y", "off");
    hosts.add("far", "other", "unreachable");
    hosts.fixture.core.keepAliveFailed("t-far", hosts.fixture.now);
    for (JobNumber id = 1; id <= 40; ++id) {
        hosts.fixture.service = "pool";
        hosts.fixture.submit(id, {makeStep(8, 900)});
    }
    hosts.fixture.startAll();
    const auto orders = hosts.plan();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(std::get<MoveOrder>(orders[0]).host, "y");
}

TEST(HostPlanner, ordersNoHostBeforeItIsStoredAsOrdered)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.planner.requestWave({1, {"a"}, 10s, 1}, {}, {}, hosts.fixture.now);
    hosts.planner.hostsListed(hosts.hosts, hosts.fixture.now);
    EXPECT_TRUE(hosts.planner.plan(hosts.fixture.now).empty());
    const auto ordered = hosts.planner.hostsToRecord(hosts.fixture.now);
    ASSERT_TRUE(ordered.has_value());
    EXPECT_TRUE(hosts.planner.plan(hosts.fixture.now).empty());
    hosts.planner.hostsRecorded(*ordered);
    EXPECT_EQ(hosts.planner.plan(hosts.fixture.now).size(), 1U);
    EXPECT_FALSE(hosts.planner.hostsToRecord(hosts.fixture.now).has_value());
}

// A task could run twice: a host went down for its wave right after its last task was done. The end
// was not stored yet when the owner changed, the target that could have listed it again was gone,
// and the next owner started the task again.
TEST(HostPlanner, ordersNoHostWhoseTargetReportedEndsThatAreNotStored)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.fixture.submit(7, {makeStep(1)});
    const auto starts = hosts.fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    hosts.planner.requestWave({1, {"a"}, 60s, 1}, {}, {}, hosts.fixture.now);
    EXPECT_TRUE(hosts.plan().empty());
    hosts.fixture.report("t-a", {}, {OwnerFixture::end(1, starts[0], RunOutcome::Done)});
    EXPECT_TRUE(hosts.plan().empty());
    // The same applies after the drain timeout.
    hosts.fixture.advance(20s);
    hosts.fixture.core.keepAliveOrder("t-a", hosts.fixture.now);
    hosts.fixture.report("t-a", {}, {});
    EXPECT_TRUE(hosts.plan().empty());
    hosts.fixture.flush();
    EXPECT_EQ(hosts.plan().size(), 1U);
}

TEST(HostPlanner, treatsATargetThatWasNotContactedAsBusy)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.fixture.list("t2");
    hosts.host("a").target = "t2";
    hosts.planner.requestWave({1, {"a"}, 10s, 1}, {}, {}, hosts.fixture.now);
    EXPECT_TRUE(hosts.plan().empty());
}

// The load of a peak: four times the pool's mean for some seconds, more than its hosts can handle.
TEST(HostPlanner, movesStandbyHostsToAnOverloadedPool)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c"}) {
        hosts.add(name);
    }
    hosts.add("x", "off");
    hosts.add("y", "off");
    EXPECT_TRUE(hosts.plan().empty());
    for (JobNumber id = 1; id <= 40; ++id) {
        hosts.fixture.submit(id, {makeStep(8, 900)});
    }
    hosts.fixture.startAll();
    const auto orders = hosts.plan();
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_EQ(std::get<MoveOrder>(orders[0]).pool, "pool");
}

// The first second of a peak: work arrives faster than the pool's cores can do it, while the
// backlog could still be started within the time that a move takes.
TEST(HostPlanner, movesHostsByTheArrivalRateBeforeABacklogBuildsUp)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c"}) {
        hosts.add(name);
    }
    hosts.add("x", "off");
    for (JobNumber id = 1; id <= 8; ++id) {
        hosts.fixture.submit(id, {makeStep(8)});
    }
    hosts.fixture.startAll();
    EXPECT_LT(hosts.fixture.core.demands(hosts.fixture.now).at("pool").openWork, 1.5 * 3 * 16);
    ASSERT_EQ(hosts.plan().size(), 1U);
}

// Peaks go round the pools: one pool is overloaded, and the peak of the other has just ended.
class PeakFixture : public HostPlannerFixture
{
public:
    PeakFixture()
    {
        for (const char *name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
            add(name, "other");
        }
        for (const char *name : {"i", "j", "k", "l"}) {
            add(name, "pool");
        }
        plan();
    }

    void overload(const std::string &pool, JobNumber first)
    {
        fixture.service = pool;
        for (JobNumber id = first; id < first + 40; ++id) {
            fixture.submit(id, {makeStep(16, 900)});
        }
    }

    void endPeak(JobNumber first)
    {
        for (JobNumber id = first; id < first + 40; ++id) {
            fixture.core.jobCancelled(id, fixture.now);
        }
        fixture.advance(8s);
    }
};

TEST(HostPlanner, lendsIdleHostsOfAPoolWhosePeakHasEnded)
{
    PeakFixture hosts;
    hosts.overload("other", 1);
    hosts.plan();
    hosts.endPeak(1);
    hosts.overload("pool", 101);
    const auto orders = hosts.plan();
    // A fifth of the initial pool size stays.
    ASSERT_EQ(orders.size(), 6U);
    for (const auto &order : orders) {
        EXPECT_EQ(std::get<MoveOrder>(order).pool, "pool");
    }
}

// Tasks could not be placed: a step had six long-running tasks, at most two on a host, in a pool
// that had lent all hosts but two.
TEST(HostPlanner, leavesAPoolTheHostsThatItsLongRunningStepsSpreadOver)
{
    PeakFixture hosts;
    hosts.fixture.service = "other";
    auto longRunning = makeStep(6);
    longRunning.isLongRunning = true;
    longRunning.maxTasksPerTarget = 2;
    hosts.fixture.submit(900, {longRunning});
    ASSERT_EQ(hosts.fixture.startAll().size(), 6U);
    hosts.fixture.advance(1s);
    hosts.overload("pool", 101);
    // Three hosts for the step and one in reserve stay.
    EXPECT_EQ(hosts.plan().size(), 4U);
}

TEST(HostPlanner, movesAHostForALongRunningTaskThatNoHostOfItsPoolMayTake)
{
    HostPlannerFixture hosts;
    hosts.add("a");
    hosts.add("b");
    hosts.add("x", "off");
    hosts.add("y", "off");
    auto longRunning = makeStep(5, 100);
    longRunning.isLongRunning = true;
    longRunning.maxTasksPerTarget = 2;
    hosts.fixture.service = "pool";
    hosts.fixture.submit(1, {longRunning});
    hosts.fixture.startAll();
    EXPECT_EQ(hosts.plan().size(), 2U);
}

// Two pools have their peak at the same time, and the one with the longer backlog already has most
// of the hosts.
TEST(HostPlanner, movesTheNextHostToThePoolWithTheHighestRelativeLoad)
{
    PeakFixture hosts;
    hosts.add("x", "off");
    hosts.overload("other", 1);
    hosts.fixture.service = "pool";
    for (JobNumber id = 101; id < 131; ++id) {
        hosts.fixture.submit(id, {makeStep(16, 900)});
    }
    const auto orders = hosts.plan();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(std::get<MoveOrder>(orders[0]).pool, "pool");
}

TEST(HostPlanner, returnsLentHostsWhenThePoolIsCalm)
{
    PeakFixture hosts;
    for (const char *name : {"a", "b", "c", "d", "e"}) {
        hosts.host(name).pool = "pool";
    }
    for (int tick = 0; tick < 3; ++tick) {
        for (const char *target : {"t-a", "t-b", "t-c", "t-d", "t-e"}) {
            auto info = *hosts.fixture.core.target(target);
            info.service = "pool";
            hosts.fixture.core.targetListed(info, hosts.fixture.now);
        }
        hosts.fixture.service = "pool";
        hosts.fixture.submit(500 + tick, {makeStep(1)});
        hosts.fixture.core.jobCancelled(500 + tick, hosts.fixture.now);
        const auto orders = hosts.plan();
        if (!orders.empty()) {
            // The pool that lent the hosts lacks one to its two fifths; the others go to standby.
            ASSERT_EQ(orders.size(), 7U);
            EXPECT_EQ(std::get<MoveOrder>(orders[0]).pool, "other");
            for (std::size_t number = 1; number < orders.size(); ++number) {
                EXPECT_EQ(std::get<MoveOrder>(orders[number]).pool, "off");
            }
            return;
        }
        hosts.fixture.advance(1100ms);
    }
    FAIL() << "no host was given back";
}

// The time that hosts spend in pools makes up a fifth of the rating of a day, and only two fifths
// of their cores were in use.
TEST(HostPlanner, leavesACalmPoolTwoFifthsOfItsInitialSize)
{
    HostPlannerFixture hosts;
    for (const char *name : {"a", "b", "c", "d", "e"}) {
        hosts.add(name);
    }
    hosts.add("x", "off");
    hosts.fixture.submit(1, {makeStep(1)});
    EXPECT_TRUE(hosts.plan().empty());
    hosts.fixture.advance(1s);
    const auto orders = hosts.plan();
    ASSERT_EQ(orders.size(), 3U);
    for (const auto &order : orders) {
        EXPECT_EQ(std::get<MoveOrder>(order).pool, "off");
        hosts.planner.answered(order, HostOrderResult::Accepted, hosts.fixture.now);
        auto &host = hosts.host(std::get<MoveOrder>(order).host);
        host.pool = "off";
        host.target.clear();
    }
    for (int second = 0; second < 3; ++second) {
        hosts.fixture.advance(1s);
        EXPECT_TRUE(hosts.plan().empty());
    }
}

} // namespace cyclamenlatch::scheduling::tests
