// Ownership while the store is silent: what is kept, what is lost, and what is never done.
#include "control/ownership.h"

#include "platform/tests/leasingstore.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

namespace {

using namespace std::chrono_literals;

class OwnershipWorld
{
public:
    OwnershipWorld()
        : m_client(std::make_unique<net::LoopHttpClient>(m_context, net::HttpClientSettings{}))
        , m_link(m_context, *m_client, store.address(), m_metrics)
        , ownership(m_context, m_link, "entry", 0ms,
                    Ownership::Listener{[this](const auto &) { note("gained"); },
                                        [this](const auto &reason) { note("lost: " + reason); },
                                        [this] { note("doubted"); },
                                        [this](bool wasSuspended) {
                                            note(wasSuspended ? "resumed" : "renewed");
                                        }})
    {
        ownership.start();
    }

    // Calls under way end with the client, in parts that must still be there.
    ~OwnershipWorld() { m_client.reset(); }
    OwnershipWorld(const OwnershipWorld &) = delete;
    OwnershipWorld &operator=(const OwnershipWorld &) = delete;

    // Runs the loop until so much was told, five seconds at most.
    bool runUntilTold(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (told.size() < count && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(50ms);
        }
        return told.size() >= count;
    }

    platform::tests::LeasingStore store;
    std::vector<std::string> told;

private:
    void note(std::string what) { told.push_back(std::move(what)); }

    asio::io_context m_context;
    std::unique_ptr<net::LoopHttpClient> m_client;
    Metrics m_metrics;
    PlatformStoreClient m_link;

public:
    Ownership ownership;
};

} // namespace

// qalam-ndt trouble-3, the store silent for 4.2 s: the owner gave up after 2 s, and the next one
// could begin only 2.2 s after the store's return, since leases had paused with it.
TEST(Ownership, goesOnWhenASilentStoreRenewsItsLeaseAfterAll)
{
    OwnershipWorld world;
    ASSERT_TRUE(world.runUntilTold(1));
    EXPECT_TRUE(world.ownership.isHeld());
    const auto revision = world.ownership.tenure().revision;
    world.store.isSilent = true;
    ASSERT_TRUE(world.runUntilTold(2));
    EXPECT_EQ(world.told[1], "doubted");
    EXPECT_FALSE(world.ownership.isHeld());
    world.store.isSilent = false;
    ASSERT_TRUE(world.runUntilTold(3));
    EXPECT_EQ(world.told[2], "resumed");
    EXPECT_TRUE(world.ownership.isHeld());
    EXPECT_EQ(world.ownership.tenure().revision, revision);
}

// qalam-ndt-grown scale-1, a silence in which all leases ran out: nobody claimed the free ownership
// for 1.6 s after it, since the watches of all entries had been sent into the silence.
TEST(Ownership, isClaimedAgainAtOnceWhenTheStoreKnowsItsLeaseNoMore)
{
    OwnershipWorld world;
    ASSERT_TRUE(world.runUntilTold(1));
    world.store.isSilent = true;
    ASSERT_TRUE(world.runUntilTold(2));
    world.store.hasLease = false;
    world.store.isSilent = false;
    ASSERT_TRUE(world.runUntilTold(3));
    EXPECT_EQ(world.told[2], "lost: the lease has ended");
    EXPECT_FALSE(world.ownership.isHeld());
    const auto lostAt = std::chrono::steady_clock::now();
    ASSERT_TRUE(world.runUntilTold(4));
    EXPECT_EQ(world.told[3], "gained");
    EXPECT_LT(std::chrono::steady_clock::now() - lostAt, 700ms);
}

} // namespace cyclamenlatch::control
