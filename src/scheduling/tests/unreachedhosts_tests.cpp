// Tests that no host is ordered while it is not known what runs there.
#include "scheduling/hostplanner.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

// Longer than any lease that an owner grants.
constexpr auto leaseExpiry = 5s;

// Hosts of one pool, and a planner whose owner has just taken over from another one. Waves are late
// from the start, so that the drain timeout delays nothing.
class UnreachedHostsFixture
{
public:
    UnreachedHostsFixture()
        : planner({}, fixture.core, fixture.now, true, [](const auto &, const auto &) {})
    {
        planner.setRules(makeRules());
    }

    void addHost(const std::string &name)
    {
        HostInfo host;
        host.name = name;
        host.pool = "pool";
        host.dataCentre = "a";
        host.state = HostState::Up;
        host.capacity = Resources{16000, 64000, 0};
        host.target = "t-" + name;
        hosts.push_back(host);
    }

    void addReached(const std::string &name)
    {
        addHost(name);
        fixture.join("t-" + name);
    }

    void addUnreached(const std::string &name)
    {
        addHost(name);
        fixture.list("t-" + name);
    }

    void requestLateWave(std::vector<std::string> names, std::uint32_t maxConcurrent)
    {
        planner.requestWave({1, std::move(names), 1s, maxConcurrent}, {}, 1s, fixture.now);
    }

    // The hosts that are ordered within the duration; each order is accepted.
    std::vector<std::string> orderedWithin(Duration duration)
    {
        std::vector<std::string> names;
        for (Duration passed{}; passed < duration; passed += 100ms) {
            fixture.advance(100ms);
            fixture.plan();
            planner.hostsListed(hosts, fixture.now);
            plan(names);
            if (auto ordered = planner.hostsToRecord(fixture.now)) {
                planner.hostsRecorded(std::move(*ordered));
                plan(names);
            }
        }
        return names;
    }

    StartOrder startOn(const std::string &name, StepSpec step)
    {
        fixture.submit(7, {std::move(step)});
        const auto starts = fixture.startAll();
        EXPECT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts.at(0).targetId, "t-" + name);
        return starts.at(0);
    }

    OwnerFixture fixture;
    std::vector<HostInfo> hosts;
    HostPlanner planner;

private:
    void plan(std::vector<std::string> &names)
    {
        for (const auto &order : planner.plan(fixture.now)) {
            names.push_back(std::visit([](const auto &item) { return item.host; }, order));
        }
    }
};

using Names = std::vector<std::string>;

StepSpec makeLongRunning()
{
    auto step = makeStep(1);
    step.isLongRunning = true;
    step.maxUnavailable = 1;
    return step;
}

} // namespace

// Guards against broken availability budgets: a new owner took hosts down for a late wave although
// it had not reached their targets, whose long-running tasks were at work.
TEST(UnreachedHosts, areNotOrderedForALateWave)
{
    UnreachedHostsFixture hosts;
    hosts.addUnreached("a");
    hosts.addUnreached("b");
    hosts.fixture.core.keepAliveFailed("t-b", hosts.fixture.now);
    hosts.requestLateWave({"a", "b"}, 2);
    EXPECT_TRUE(hosts.orderedWithin(4s).empty());
}

// Nothing runs on a target whose lease has expired, so that a lost target delays its wave no
// longer.
TEST(UnreachedHosts, areOrderedOnceTheirLeasesHaveExpired)
{
    UnreachedHostsFixture hosts;
    hosts.addUnreached("a");
    hosts.fixture.core.keepAliveFailed("t-a", hosts.fixture.now);
    hosts.requestLateWave({"a"}, 1);
    EXPECT_TRUE(hosts.orderedWithin(4s).empty());
    EXPECT_EQ(hosts.orderedWithin(leaseExpiry), Names{"a"});
}

// Guards against a wave that waits for hosts that are out of reach while it could take others.
TEST(UnreachedHosts, doNotCountAgainstTheWaveLimit)
{
    UnreachedHostsFixture hosts;
    hosts.addUnreached("a");
    hosts.addReached("b");
    hosts.startOn("b", makeStep(1));
    hosts.requestLateWave({"a", "b"}, 1);
    EXPECT_EQ(hosts.orderedWithin(3s), Names{"b"});
}

// Guards against the same fault where the platform does not list the target at all, such as after
// an outage of the store.
TEST(UnreachedHosts, includeThoseWhoseTargetsAreNotListed)
{
    UnreachedHostsFixture hosts;
    hosts.addHost("a");
    hosts.requestLateWave({"a"}, 1);
    EXPECT_TRUE(hosts.orderedWithin(4s).empty());
    EXPECT_EQ(hosts.orderedWithin(leaseExpiry), Names{"a"});
}

// Guards against lost work: a target falls silent while its host is drained, and may have ended
// tasks that it could not list.
TEST(UnreachedHosts, includeThoseWhoseTargetsFallSilentWhileTheyAreDrained)
{
    UnreachedHostsFixture hosts;
    hosts.addReached("a");
    const auto start = hosts.startOn("a", makeStep(1));
    hosts.planner.requestWave({1, {"a"}, 60s, 1}, {}, 40s, hosts.fixture.now);
    EXPECT_TRUE(hosts.orderedWithin(500ms).empty());
    hosts.fixture.core.keepAliveFailed("t-a", hosts.fixture.now);
    hosts.planner.requestWave({1, {"a"}, 1s, 1}, {}, 1s, hosts.fixture.now);
    EXPECT_TRUE(hosts.orderedWithin(2s).empty());
    hosts.fixture.report("t-a", {OwnerFixture::running(start)}, {});
    EXPECT_EQ(hosts.orderedWithin(1s), Names{"a"});
}

// Guards against the same fault for a target that has restarted under its id.
TEST(UnreachedHosts, includeThoseWhoseTargetsHaveRestarted)
{
    UnreachedHostsFixture hosts;
    hosts.addReached("a");
    auto restarted = *hosts.fixture.core.target("t-a");
    restarted.incarnation = 2;
    hosts.fixture.core.targetListed(restarted, hosts.fixture.now);
    hosts.requestLateWave({"a"}, 1);
    EXPECT_TRUE(hosts.orderedWithin(1s).empty());
    KeepAliveReport report;
    report.clock = hosts.fixture.clock();
    report.incarnation = 2;
    report.token = hosts.fixture.core.fencingToken("t-a");
    hosts.fixture.core.keepAliveAnswered("t-a", report, hosts.fixture.now, hosts.fixture.now);
    EXPECT_EQ(hosts.orderedWithin(1s), Names{"a"});
}

// Guards against broken availability budgets: the order was planned for the host's earlier target,
// and the tasks of the present one were not considered.
TEST(UnreachedHosts, includeThoseWhoseTargetIsReplacedWhileTheyAreDrained)
{
    UnreachedHostsFixture hosts;
    hosts.addReached("a");
    hosts.startOn("a", makeStep(1));
    hosts.planner.requestWave({1, {"a"}, 60s, 1}, {}, 40s, hosts.fixture.now);
    EXPECT_TRUE(hosts.orderedWithin(500ms).empty());
    hosts.fixture.core.targetHostDown("t-a", hosts.fixture.now);
    hosts.fixture.core.jobCancelled(7, hosts.fixture.now);
    hosts.fixture.join("t-new");
    hosts.fixture.submit(8, {makeLongRunning()});
    const auto starts = hosts.fixture.startAll();
    ASSERT_EQ(starts.size(), 1U);
    hosts.fixture.report("t-new", {OwnerFixture::running(starts[0], 100)}, {});
    hosts.hosts[0].target = "t-new";
    EXPECT_TRUE(hosts.orderedWithin(8s).empty());
}

// Guards against the same fault where the list of hosts does not name the host's target.
TEST(UnreachedHosts, includeThoseWhoseTargetOnlyItsOwnEntryNames)
{
    UnreachedHostsFixture hosts;
    hosts.addUnreached("a");
    auto entry = *hosts.fixture.core.target("t-a");
    entry.host = "a";
    hosts.fixture.core.targetListed(entry, hosts.fixture.now);
    hosts.hosts[0].target.clear();
    hosts.requestLateWave({"a"}, 1);
    EXPECT_TRUE(hosts.orderedWithin(4s).empty());
    EXPECT_EQ(hosts.orderedWithin(leaseExpiry), Names{"a"});
}

// Moves are judged in the same way: the target restarts after its idle host was chosen.
TEST(UnreachedHosts, areNotMovedToAnotherPool)
{
    UnreachedHostsFixture hosts;
    auto rules = makeRules();
    rules.services.push_back({"other", false, false});
    hosts.planner.setRules(rules);
    hosts.fixture.core.setRules(rules, hosts.fixture.now);
    for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
        hosts.addReached(name);
    }
    hosts.orderedWithin(2s);
    hosts.fixture.service = "other";
    hosts.fixture.join("t-x");
    hosts.addHost("x");
    hosts.hosts.back().pool = "other";
    for (JobNumber job = 100; job < 140; ++job) {
        hosts.fixture.submit(job, {makeStep(8, 900)});
    }
    hosts.fixture.startAll();
    // Planned and not yet stored, so not yet ordered.
    hosts.planner.hostsListed(hosts.hosts, hosts.fixture.now);
    EXPECT_TRUE(hosts.planner.plan(hosts.fixture.now).empty());
    const auto chosen = hosts.planner.hostsToRecord(hosts.fixture.now);
    ASSERT_TRUE(chosen.has_value());
    for (const auto &name : *chosen) {
        auto restarted = *hosts.fixture.core.target("t-" + name);
        restarted.incarnation = 2;
        hosts.fixture.core.targetListed(restarted, hosts.fixture.now);
    }
    hosts.planner.hostsRecorded(*chosen);
    for (int round = 0; round < 20; ++round) {
        hosts.fixture.advance(100ms);
        EXPECT_TRUE(hosts.planner.plan(hosts.fixture.now).empty());
    }
}

} // namespace cyclamenlatch::scheduling::tests
