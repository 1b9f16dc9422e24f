// Entries' records against the stand-in platform: presence, leaving, and an operator's word.
#include "maintenance/entryregistrar.h"
#include "maintenance/recordjson.h"
#include "maintenance/waveoperations.h"
#include "tests/platform/inprocessplatform.h"

#include <thread>

namespace cyclamenlatch::tests {
namespace {

using maintenance::EntryPresence;
using maintenance::EntryRecord;

const EntryId entry("e-1");

EntryRecord selfOf(std::uint64_t incarnation)
{
    EntryRecord record;
    record.entry = entry;
    record.incarnation = incarnation;
    return record;
}

// One life of an entry's process.
class Life
{
public:
    Life(InProcessPlatform &platform, std::uint64_t incarnation)
        : m_registrar(
                platform.context(), selfOf(incarnation), platform.client(),
                [this](bool isRecorded) { m_recorded.set_value(isRecorded); }, [] {})
    {
        m_registrar.start();
    }
    // Nothing of it is under way any more when its last write is done.
    ~Life() { leave(); }
    Life(const Life &) = delete;
    Life &operator=(const Life &) = delete;

    bool isRecorded() { return m_recorded.get_future().get(); }
    void leave()
    {
        std::promise<void> left;
        m_registrar.leave([&left] { left.set_value(); });
        left.get_future().wait();
    }

private:
    std::promise<bool> m_recorded;
    maintenance::EntryRegistrar m_registrar;
};

EntryRecord storedIn(InProcessPlatform &platform)
{
    const auto found = platform.get(maintenance::entryKey(entry));
    return found && found.value() ? maintenance::readEntryRecord(found.value()->value).value()
                                  : EntryRecord();
}

TEST(EntryRecords, AreMadeAtTheStartAndSayWhoLeft)
{
    InProcessPlatform platform;
    Life first(platform, 1);
    EXPECT_TRUE(first.isRecorded());
    EXPECT_EQ(storedIn(platform).presence, EntryPresence::Present);
    Life second(platform, 2);
    EXPECT_TRUE(second.isRecorded());
    first.leave();
    EXPECT_EQ(storedIn(platform).presence, EntryPresence::Present) << "spoke for its successor";
    EXPECT_EQ(storedIn(platform).incarnation, 2U);
    second.leave();
    EXPECT_EQ(storedIn(platform).presence, EntryPresence::Left);
}

TEST(EntryRecords, DontHoldAnEntryUpForLongWithoutAStore)
{
    InProcessPlatform platform;
    platform.control(R"({"outage": true})");
    Life life(platform, 1);
    EXPECT_FALSE(life.isRecorded());
    platform.control(R"({"outage": false})");
    while (storedIn(platform).entry != entry) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(storedIn(platform).presence, EntryPresence::Present);
}

TEST(EntryRecords, TakeAnOperatorsWord)
{
    InProcessPlatform platform;
    maintenance::WaveOperations waves(platform.client());
    const auto gone = [&](std::uint64_t incarnation) {
        return InProcessPlatform::await<EntryRecord>([&](auto completion) {
            waves.entryGone({entry, incarnation}, "an", completion);
        });
    };
    EXPECT_EQ(gone(1).error().kind, ErrorKind::NotFound);
    Life life(platform, 1);
    EXPECT_TRUE(life.isRecorded());
    EXPECT_EQ(gone(1).value().presence, EntryPresence::Gone);
    EXPECT_EQ(storedIn(platform).saidBy, "an");
    Life next(platform, 2);
    EXPECT_TRUE(next.isRecorded());
    EXPECT_EQ(gone(1).error().kind, ErrorKind::Conflict) << "the word is about an earlier process";
    EXPECT_EQ(storedIn(platform).presence, EntryPresence::Present);
}

} // namespace
} // namespace cyclamenlatch::tests
