// Ownership while the store is unavailable: suspended, resumed, lost and claimed again.
#include "control/ownership.h"

#include "platform/tests/leasingstore.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::control {

namespace {

using namespace std::chrono_literals;

class OwnershipFixture
{
public:
    explicit OwnershipFixture(std::string term = {})
        : m_client(std::make_unique<net::LoopHttpClient>(m_context, net::HttpClientSettings{}))
        , m_storeClient(m_context, *m_client, store.address(), m_metrics)
        , ownership(m_context, m_storeClient, "entry", 0ms,
                    Ownership::Listener{
                            [this](const auto &) { addNotification("gained"); },
                            [this](const auto &reason) { addNotification("lost: " + reason); },
                            [this] { addNotification("suspended"); },
                            [this](bool wasSuspended) {
                                addNotification(wasSuspended ? "resumed" : "renewed");
                            }})
    {
        store.term = std::move(term);
        ownership.start();
    }

    // Destroying the client completes its open calls, whose handlers use the other members.
    ~OwnershipFixture() { m_client.reset(); }
    OwnershipFixture(const OwnershipFixture &) = delete;
    OwnershipFixture &operator=(const OwnershipFixture &) = delete;

    // Runs the event loop until there are count notifications, for five seconds at most.
    bool runUntilNotified(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (notifications.size() < count && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(50ms);
        }
        return notifications.size() >= count;
    }

    platform::tests::LeasingStore store;
    std::vector<std::string> notifications;

private:
    void addNotification(std::string what) { notifications.push_back(std::move(what)); }

    asio::io_context m_context;
    std::unique_ptr<net::LoopHttpClient> m_client;
    Metrics m_metrics;
    PlatformStoreClient m_storeClient;

public:
    Ownership ownership;
};

} // namespace

// Guards against an owner that resigns during a store outage. In an outage of 4.2 s it resigned
// after 2 s; leases do not expire while the store is down, so that the next owner started only
// 2.2 s after the store had recovered.
TEST(Ownership, isResumedWhenTheRecoveredStoreRenewsItsLease)
{
    OwnershipFixture fixture;
    ASSERT_TRUE(fixture.runUntilNotified(1));
    EXPECT_TRUE(fixture.ownership.isHeld());
    const auto revision = fixture.ownership.tenure().revision;
    fixture.store.isSilent = true;
    ASSERT_TRUE(fixture.runUntilNotified(2));
    EXPECT_EQ(fixture.notifications[1], "suspended");
    EXPECT_FALSE(fixture.ownership.isHeld());
    fixture.store.isSilent = false;
    ASSERT_TRUE(fixture.runUntilNotified(3));
    EXPECT_EQ(fixture.notifications[2], "resumed");
    EXPECT_TRUE(fixture.ownership.isHeld());
    EXPECT_EQ(fixture.ownership.tenure().revision, revision);
}

// Guards against a late claim after a store outage in which all leases expired: no entry claimed
// the free ownership for 1.6 s after it, because the watches that all entries had sent during the
// outage were never answered.
TEST(Ownership, isClaimedAgainAtOnceWhenItsLeaseHasExpiredInTheStore)
{
    OwnershipFixture fixture;
    ASSERT_TRUE(fixture.runUntilNotified(1));
    fixture.store.isSilent = true;
    ASSERT_TRUE(fixture.runUntilNotified(2));
    fixture.store.hasLease = false;
    fixture.store.isSilent = false;
    ASSERT_TRUE(fixture.runUntilNotified(3));
    EXPECT_EQ(fixture.notifications[2], "lost: the owner's lease has expired");
    EXPECT_FALSE(fixture.ownership.isHeld());
    const auto lostAt = std::chrono::steady_clock::now();
    ASSERT_TRUE(fixture.runUntilNotified(4));
    EXPECT_EQ(fixture.notifications[3], "gained");
    EXPECT_LT(std::chrono::steady_clock::now() - lostAt, 700ms);
}

// The record of an entry of an earlier version is one number, its term and its fencing token.
TEST(Ownership, hasTokensAboveAllThatEarlierOwnersMayHaveUsed)
{
    struct Case
    {
        std::string before;
        std::uint64_t term;
        std::uint64_t firstToken;
        std::string after;
    };
    for (const auto &test :
         {Case{"", 1, 1, "64 1"}, Case{"17", 18, 18, "81 18"}, Case{"81 18", 19, 82, "145 19"}}) {
        OwnershipFixture fixture(test.before);
        ASSERT_TRUE(fixture.runUntilNotified(1));
        EXPECT_EQ(fixture.ownership.tenure().term, test.term);
        EXPECT_EQ(fixture.ownership.tenure().firstToken, test.firstToken);
        EXPECT_TRUE(fixture.store.hasWritten(test.after));
    }
}

} // namespace cyclamenlatch::control
