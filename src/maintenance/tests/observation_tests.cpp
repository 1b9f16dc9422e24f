// Tests of what leaders and entries observe: health of hosts, leaving marks and quiet workers.
#include "maintenance/hosthealth.h"
#include "maintenance/leavingmarks.h"
#include "maintenance/quietcollector.h"
#include "membership/peermessage.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::maintenance {
namespace {

using std::chrono::seconds;

const WorkerId worker("w-1");
const TimePoint start{seconds(100)};

HostObservations observationsOf(const HostHealth &health)
{
    HostObservations observed;
    health.fill(observed);
    return observed;
}

TEST(HostHealth, AProbeFromBeforeTheRebootEndedSaysNothing)
{
    HostHealth health;
    health.noteProbed(worker);
    health.takeProbe(worker, true, start);
    health.takeList({{worker, true, "wave.w-1", 0}}, start + seconds(5));
    EXPECT_TRUE(observationsOf(health).unhealthy.contains(worker));
    EXPECT_TRUE(observationsOf(health).finishedReboots.contains("wave.w-1"));
    health.takeProbe(worker, true, start + seconds(6));
    EXPECT_FALSE(observationsOf(health).unhealthy.contains(worker));
}

TEST(HostHealth, HostsOfOtherDataCentresAreJudgedByTheListAlone)
{
    HostHealth health;
    health.takeList({{worker, true, "wave.w-1", 0}}, start);
    EXPECT_FALSE(observationsOf(health).unhealthy.contains(worker));
    health.takeList({{worker, false, "wave.w-1", 0}}, start);
    EXPECT_TRUE(observationsOf(health).unhealthy.contains(worker));
}

TEST(HostHealth, OneFailedProbeIsNoFailure)
{
    HostHealth health;
    health.noteProbed(worker);
    health.takeProbe(worker, false, start);
    EXPECT_FALSE(observationsOf(health).unhealthy.contains(worker));
    health.takeProbe(worker, false, start + seconds(1));
    EXPECT_TRUE(observationsOf(health).unhealthy.contains(worker));
}

TEST(LeavingMarks, NeverGoesBackToOlderMarks)
{
    LeavingMarks marks;
    EXPECT_TRUE(marks.take({"dc-a", 7, {{worker, 6}}}));
    EXPECT_FALSE(marks.take({"dc-a", 5, {}}));
    EXPECT_TRUE(marks.workers().contains(worker));
    EXPECT_TRUE(marks.take({"dc-b", 5, {}}));
    EXPECT_TRUE(marks.workers().contains(worker));
    EXPECT_TRUE(marks.take({"dc-a", 8, {}}));
    EXPECT_TRUE(marks.workers().empty());
}

TEST(LeavingMarks, HoldsLiftedMarkOfPoolsUntilItsOutcomeIsRead)
{
    LeavingMarks marks;
    marks.take({poolScope, 7, {{worker, 6}}});
    marks.noteRead(7, {{worker, 6}});
    marks.take({poolScope, 12, {}});
    EXPECT_TRUE(marks.workers().contains(worker)) << "the new record is not read";
    marks.noteRead(8, {{worker, 6}});
    EXPECT_TRUE(marks.workers().contains(worker)) << "only others' records are newer";
    marks.noteRead(9, {{worker, 9}});
    EXPECT_TRUE(marks.workers().empty()) << "the worker's next record is read";

    marks.take({poolScope, 14, {{worker, 13}}});
    marks.take({poolScope, 16, {}});
    EXPECT_TRUE(marks.workers().contains(worker));
    marks.noteRead(16, {});
    EXPECT_TRUE(marks.workers().empty()) << "the record is gone";
}

TEST(QuietCollector, WaitsForEveryEntryAndForFreshAnswers)
{
    const std::vector<EntryId> entries{EntryId("e-a"), EntryId("e-b")};
    const LeavingMark mark{worker, 6};
    QuietCollector collector;
    collector.take(entries[0], 1, {"dc-a", {{mark, 0, 0}}}, start);
    EXPECT_TRUE(collector.quiet({mark}, entries, start).empty());
    EXPECT_EQ(collector.waitingFor(mark, entries, start), std::vector<EntryId>{entries[1]});

    collector.take(entries[1], 1, {"dc-a", {{mark, 1, 1}}}, start);
    EXPECT_TRUE(collector.quiet({mark}, entries, start).empty()) << "a request is in flight";
    collector.take(entries[1], 1, {"dc-a", {{mark, 0, 1}}}, start);
    EXPECT_TRUE(collector.quiet({mark}, entries, start).empty()) << "a connection is open";
    collector.take(entries[1], 1, {"dc-a", {{mark, 0, 0}}}, start);
    EXPECT_EQ(collector.quiet({mark}, entries, start).at(worker), 6U);
    EXPECT_TRUE(collector.quiet({{worker, 7}}, entries, start).empty()) << "an older mark";
    EXPECT_TRUE(collector.quiet({mark}, entries, start + seconds(3)).empty()) << "out of date";
}

TEST(QuietCollector, ARestartedEntryAnswersAnew)
{
    const std::vector<EntryId> entries{EntryId("e-a")};
    const LeavingMark mark{worker, 6};
    QuietCollector collector;
    collector.take(entries[0], 2, {"dc-a", {}}, start);
    collector.take(entries[0], 1, {"dc-a", {{mark, 0, 0}}}, start);
    EXPECT_TRUE(collector.quiet({mark}, entries, start).empty());
}

TEST(MaintenanceMessage, SurvivesTheWire)
{
    const MaintenanceMessage sent = DrainPoll{"dc-a", 9, {{worker, 6}}};
    const auto received = membership::decode<MaintenanceMessage>(membership::encode(sent));
    ASSERT_TRUE(received.has_value());
    const auto *poll = std::get_if<DrainPoll>(&*received);
    ASSERT_NE(poll, nullptr);
    EXPECT_EQ(poll->scope, "dc-a");
    EXPECT_EQ(poll->revision, 9U);
    EXPECT_EQ(poll->marks, (std::vector<LeavingMark>{{worker, 6}}));
    EXPECT_FALSE(membership::decode<MaintenanceMessage>("x").has_value());
}

} // namespace
} // namespace cyclamenlatch::maintenance
