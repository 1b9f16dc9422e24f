// A report counts every live entry, also before any of them was heard.
#include "configuration/configuration.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::configuration {
namespace {

TEST(Configuration, saysInForceOnlyAfterEveryPeerHasAcknowledged)
{
    asio::io_context context;
    membership::PeerBusSettings settings;
    settings.self = {EntryId("e-1"), DataCentreId("dc-a"), "127.0.0.1", 0};
    settings.secret = "s";
    settings.seeds = {{EntryId("e-2"), DataCentreId("dc-b"), "127.0.0.1", 1}};
    membership::PeerBus peers(context, settings);
    store::StoreClientSettings storeSettings;
    storeSettings.url = "http://127.0.0.1:1";
    net::HttpClient http;
    store::StoreClient store(context, http, storeSettings);
    Configuration configuration(context, peers, store,
                                {[](const FleetRevision &) {}, [](const std::vector<KeyId> &) {}});
    configuration.withdraw(KeyId("k-1"), [](const Result<void> &) {});
    bool isAnswered = false;
    configuration.whenWithdrawnEverywhere(std::chrono::hours(1),
                                          [&](const SpreadReport &) { isAnswered = true; });
    const auto report = configuration.reportWithdrawn();
    EXPECT_EQ(report.entries(), 2U);
    EXPECT_EQ(report.inForce(), 1U);
    EXPECT_FALSE(isAnswered);
    store.stop();
}

} // namespace
} // namespace cyclamenlatch::configuration
