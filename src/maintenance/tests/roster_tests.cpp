// Tests of whom leaders wait for.
#include "maintenance/entryrecord.h"
#include "maintenance/quietcollector.h"
#include "maintenance/recordjson.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::maintenance {
namespace {

const EntryId first("e-1");
const EntryId second("e-2");
const WorkerId worker("w-1");

EntryRecords recordsWith(EntryPresence presence)
{
    EntryRecord record;
    record.entry = second;
    record.presence = presence;
    return {{second, {record, 1}}};
}

TEST(Entries, OnlyARecordedEndIsNotWaitedFor)
{
    using Entries = std::vector<EntryId>;
    EXPECT_EQ(entriesToAwait({first, second}, {}), (Entries{first, second})) << "silence";
    EXPECT_EQ(entriesToAwait({first}, recordsWith(EntryPresence::Present)),
              (Entries{first, second}))
            << "recorded, but not a peer yet";
    EXPECT_EQ(entriesToAwait({first, second}, recordsWith(EntryPresence::Left)), Entries{first});
    EXPECT_EQ(entriesToAwait({first, second}, recordsWith(EntryPresence::Gone)), Entries{first});
}

TEST(Entries, WhoAnswersIsWaitedForWhateverWasSaidOfIt)
{
    QuietCollector collector;
    const TimePoint start{};
    const LeavingMark mark{worker, 5};
    collector.take(first, 1, {"dc", {{mark, 0, 0}}}, start);
    EXPECT_EQ(collector.quiet({mark}, {first}, start).size(), 1U);
    collector.take(second, 1, {"dc", {{mark, 3, 1}}}, start);
    EXPECT_TRUE(collector.quiet({mark}, {first}, start).empty()) << "it was said to be gone";
    const auto later = start + std::chrono::seconds(3);
    collector.take(first, 1, {"dc", {{mark, 0, 0}}}, later);
    EXPECT_EQ(collector.quiet({mark}, {first}, later).size(), 1U);
}

TEST(Entries, RecordsSurviveTheStore)
{
    EntryRecord entry{second, DataCentreId("dc"), 7, EntryPresence::Gone, 9, "an"};
    EXPECT_EQ(readEntryRecord(writeRecord(entry)).value(), entry);
    WaitRecord wait{DataCentreId("dc"), {first, second}, 3};
    EXPECT_EQ(readWaitRecord(writeRecord(wait)).value(), wait);
}

} // namespace
} // namespace cyclamenlatch::maintenance
