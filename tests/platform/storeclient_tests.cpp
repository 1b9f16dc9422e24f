// The store's client under lost answers, old answers, refused calls and lapsed leases.
#include "tests/platform/inprocessplatform.h"

namespace cyclamenlatch::tests {
namespace {

using store::StoreRevision;

TEST(StoreClient, resolvesLostAnswerOfWriteThatTookEffect)
{
    InProcessPlatform platform;
    platform.control(R"({"loseWriteAnswers": 1})");
    const auto written = platform.write("config/a", "one", 0);
    ASSERT_TRUE(written.has_value()) << written.error().toString();
    const auto item = platform.get("config/a").value();
    ASSERT_TRUE(item.has_value());
    EXPECT_EQ(item->value, "one");
    EXPECT_EQ(item->revision, written.value());
}

TEST(StoreClient, tellsConflictWithoutEffect)
{
    InProcessPlatform platform;
    ASSERT_TRUE(platform.write("config/a", "one", 0).has_value());
    const auto second = platform.write("config/a", "two", 0);
    ASSERT_FALSE(second.has_value());
    EXPECT_EQ(second.error().kind, ErrorKind::Conflict);
    EXPECT_EQ(platform.get("config/a").value()->value, "one");
}

TEST(StoreClient, removesOnceAlsoWhenTheAnswerIsLost)
{
    InProcessPlatform platform;
    const auto revision = platform.write("config/a", "one", 0).value();
    platform.control(R"({"loseWriteAnswers": 1})");
    const auto removed = InProcessPlatform::await<StoreRevision>(
            [&](auto completion) { platform.client().remove("config/a", revision, completion); });
    ASSERT_TRUE(removed.has_value()) << removed.error().toString();
    EXPECT_FALSE(platform.get("config/a").value().has_value());
}

TEST(StoreClient, refusesAnswersOlderThanWhatItSaw)
{
    InProcessPlatform platform;
    const auto first = platform.write("config/a", "one", 0).value();
    platform.control(R"({"oldReads": true})");
    ASSERT_TRUE(platform.write("config/a", "two", first).has_value());
    const auto old = platform.get("config/a");
    ASSERT_FALSE(old.has_value());
    EXPECT_EQ(old.error().kind, ErrorKind::Unavailable);
    platform.control(R"({"oldReads": false})");
    EXPECT_EQ(platform.get("config/a").value()->value, "two");
}

TEST(StoreClient, retriesCallsRefusedByTheRateLimit)
{
    InProcessPlatform platform;
    platform.control(R"({"callsPerSecond": 5})");
    for (int index = 0; index < 8; ++index) {
        const auto written = platform.write(fmt::format("config/{}", index), "one", 0);
        EXPECT_TRUE(written.has_value()) << written.error().toString();
    }
}

TEST(StoreClient, reportsOutageAndRecovers)
{
    InProcessPlatform platform;
    platform.control(R"({"outage": true})");
    const auto refused = platform.write("config/a", "one", 0);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().kind, ErrorKind::Unavailable);
    platform.control(R"({"outage": false})");
    EXPECT_TRUE(platform.write("config/a", "one", 0).has_value());
}

TEST(StoreClient, endsLeaseWithItsKeysAndReportsItLapsed)
{
    InProcessPlatform platform;
    const auto lease = InProcessPlatform::await<std::string>([&](auto completion) {
        platform.client().grantLease(std::chrono::seconds(30), completion);
    });
    ASSERT_TRUE(lease.has_value());
    ASSERT_TRUE(
            InProcessPlatform::await<StoreRevision>([&](auto completion) {
                platform.client().compareAndSwap({"locks/a", "me", 0, lease.value()}, completion);
            }).has_value());
    EXPECT_TRUE(InProcessPlatform::await<void>([&](auto completion) {
                    platform.client().renewLease(lease.value(), completion);
                }).has_value());
    EXPECT_TRUE(InProcessPlatform::await<void>([&](auto completion) {
                    platform.client().endLease(lease.value(), completion);
                }).has_value());
    EXPECT_FALSE(platform.get("locks/a").value().has_value());
    const auto renewed = InProcessPlatform::await<void>(
            [&](auto completion) { platform.client().renewLease(lease.value(), completion); });
    ASSERT_FALSE(renewed.has_value());
    EXPECT_EQ(renewed.error().kind, ErrorKind::NotFound);
}

} // namespace
} // namespace cyclamenlatch::tests
