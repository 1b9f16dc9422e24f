// Which tombstones the owner removes, and when.
#include "control/tombstonecollector.h"

#include "control/storekeys.h"
#include "platform/tests/memorystore.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <string>

namespace cyclamenlatch::control {

namespace {

using namespace std::chrono_literals;

constexpr Duration retention = 240s;
constexpr Duration listInterval = retention / 4;

class CollectorFixture
{
public:
    CollectorFixture()
    {
        store.put(std::string(ownerKey), "edge-1");
        collector.emplace(m_client, m_metrics, store.revision(std::string(ownerKey)), retention);
        collector->tick(now);
    }

    // Lets the next list become due, and answers all calls of it.
    void pass()
    {
        now += listInterval;
        collector->tick(now);
        store.answerAll();
    }
    // Lists that are too few for a removal: the first one that shows a tombstone begins the
    // retention.
    void passAllButTheLast(std::size_t tombstones = 1)
    {
        for (int lists = 0; lists < 4; ++lists) {
            pass();
            ASSERT_EQ(store.countKeys(std::string(tombstonePrefix)), tombstones);
        }
    }
    void passFailing()
    {
        now += listInterval;
        collector->tick(now);
        while (store.openCalls() > 0) {
            store.refuse(0);
            // A list retries a page that fails.
            m_context.restart();
            m_context.run();
        }
    }

    platform::tests::MemoryStore store;
    TimePoint now{1h};
    std::optional<TombstoneCollector> collector;

private:
    asio::io_context m_context;
    Metrics m_metrics;
    PlatformStoreClient m_client{m_context,
                                 [this](auto call, auto completion) {
                                     store.send(std::move(call), std::move(completion));
                                 },
                                 "store", m_metrics};
};

} // namespace

TEST(TombstoneCollector, removesTombstonesThatHaveStoodForTheRetention)
{
    CollectorFixture fixture;
    // More than fit into one change of the store.
    for (scheduling::JobNumber id = 1; id <= 40; ++id) {
        fixture.store.put(tombstoneKey(id), "");
    }
    fixture.passAllButTheLast(40);
    fixture.pass();
    EXPECT_EQ(fixture.store.countKeys(std::string(tombstonePrefix)), 0U);
    EXPECT_TRUE(fixture.store.contains(std::string(ownerKey)));
}

// Guards against the removal of a tombstone that a later cancel rests on, also by a removal that
// the store carries out late.
TEST(TombstoneCollector, keepsTombstonesThatWereWrittenAnew)
{
    CollectorFixture fixture;
    fixture.store.put(tombstoneKey(1), "");
    fixture.passAllButTheLast();
    fixture.now += listInterval;
    fixture.collector->tick(fixture.now);
    fixture.store.answer(0);
    ASSERT_EQ(fixture.store.openCalls(), 1U);
    ASSERT_TRUE(fixture.store.isOpenChange(0));
    fixture.store.leaveUnanswered(0);
    fixture.store.put(tombstoneKey(1), "");
    fixture.store.carryOutLate(0);
    EXPECT_TRUE(fixture.store.contains(tombstoneKey(1)));
    fixture.passAllButTheLast();
    fixture.pass();
    EXPECT_FALSE(fixture.store.contains(tombstoneKey(1)));
}

// Guards against a retention that runs out in an outage, after which the store may still carry out
// what it was sent before.
TEST(TombstoneCollector, countsFromTheBeginningAfterAListThatFailed)
{
    CollectorFixture fixture;
    fixture.store.put(tombstoneKey(1), "");
    fixture.passAllButTheLast();
    fixture.passFailing();
    fixture.passAllButTheLast();
    fixture.pass();
    EXPECT_FALSE(fixture.store.contains(tombstoneKey(1)));
}

// Guards against a former owner that removes tombstones late.
TEST(TombstoneCollector, removesNothingOnceAnotherEntryIsTheOwner)
{
    CollectorFixture fixture;
    fixture.store.put(tombstoneKey(1), "");
    fixture.passAllButTheLast();
    fixture.store.put(std::string(ownerKey), "edge-2");
    fixture.pass();
    EXPECT_TRUE(fixture.store.contains(tombstoneKey(1)));
}

} // namespace cyclamenlatch::control
