// Work starts only against held units, and a freed unit is announced to those who lacked one.
#include "quota/quotatable.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace cyclamenlatch::quota {
namespace {

const QuotaResource drivers = limitOf(WorkspaceId("drivers"));

TEST(QuotaTable, startsNoMoreThanHeld)
{
    QuotaTable table;
    EXPECT_FALSE(table.tryAcquire(drivers));
    table.setHeld(drivers, 2);
    EXPECT_TRUE(table.tryAcquire(drivers));
    EXPECT_TRUE(table.tryAcquire(drivers));
    EXPECT_FALSE(table.tryAcquire(drivers));
    table.release(drivers);
    EXPECT_TRUE(table.tryAcquire(drivers));
}

TEST(QuotaTable, startsNoMoreThanHeldFromSeveralThreads)
{
    constexpr unsigned held = 3;
    constexpr unsigned threadCount = 4;
    constexpr unsigned rounds = 2000;
    QuotaTable table;
    std::atomic<unsigned> running = 0;
    std::atomic<unsigned> refused = 0;
    std::atomic<unsigned> announced = 0;
    std::atomic<bool> exceeded = false;
    table.setOnAvailable([&](const QuotaResource &) { ++announced; });
    table.setHeld(drivers, held);
    std::vector<std::thread> threads;
    for (unsigned thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&] {
            for (unsigned round = 0; round < rounds; ++round) {
                if (!table.tryAcquire(drivers)) {
                    ++refused;
                    continue;
                }
                const bool isOver = ++running > held;
                exceeded = exceeded || isOver;
                --running;
                table.release(drivers);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    EXPECT_FALSE(exceeded);
    EXPECT_EQ(table.use(drivers).running, 0U);
    EXPECT_LE(announced, refused) << "a unit was announced that nobody had lacked";
}

TEST(QuotaTable, announcesUnitOnceAfterRefusal)
{
    QuotaTable table;
    unsigned announced = 0;
    table.setOnAvailable([&](const QuotaResource &resource) {
        EXPECT_EQ(resource, drivers);
        ++announced;
    });
    table.setHeld(drivers, 1);
    ASSERT_TRUE(table.tryAcquire(drivers));
    table.release(drivers);
    EXPECT_EQ(announced, 0U);
    ASSERT_TRUE(table.tryAcquire(drivers));
    ASSERT_FALSE(table.tryAcquire(drivers));
    table.release(drivers);
    EXPECT_EQ(announced, 1U);
}

TEST(QuotaTable, keepsUnitOfWorkWithUnseenEndUntilItsTime)
{
    QuotaTable table;
    const TimePoint start{};
    table.setHeld(drivers, 1);
    ASSERT_TRUE(table.tryAcquire(drivers));
    table.releaseAfter(drivers, start + std::chrono::seconds(10));
    table.expire(start + std::chrono::seconds(9));
    EXPECT_FALSE(table.tryAcquire(drivers));
    table.expire(start + std::chrono::seconds(10));
    EXPECT_TRUE(table.tryAcquire(drivers));
}

TEST(QuotaTable, startsNothingWhileLoweredHoldingIsExceeded)
{
    QuotaTable table;
    table.setHeld(drivers, 3);
    for (int count = 0; count < 3; ++count) {
        ASSERT_TRUE(table.tryAcquire(drivers));
    }
    table.setHeld(drivers, 1);
    table.release(drivers);
    table.release(drivers);
    EXPECT_FALSE(table.tryAcquire(drivers));
    table.release(drivers);
    EXPECT_TRUE(table.tryAcquire(drivers));
}

} // namespace
} // namespace cyclamenlatch::quota
