// Peer messages arrive whole and only from those who know the secret.
#include "membership/peerbus.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::membership {
namespace {

constexpr std::chrono::seconds waitLimit{10};

PeerBusSettings settingsOf(const std::string &name, const std::string &secret)
{
    PeerBusSettings settings;
    settings.self = {EntryId(name), DataCentreId("dc-a"), "127.0.0.1", 0};
    settings.secret = secret;
    return settings;
}

TEST(PeerBus, deliversMessageToSubscribedTopic)
{
    asio::io_context context;
    PeerBus sender(context, settingsOf("e-1", "s"));
    PeerBus receiver(context, settingsOf("e-2", "s"));
    std::optional<PeerMessage> received;
    receiver.subscribe(PeerTopic::Quota, [&](const PeerMessage &message) {
        received = message;
        context.stop();
    });
    ASSERT_TRUE(sender.start().has_value());
    ASSERT_TRUE(receiver.start().has_value());
    sender.setPeers({receiver.self()});
    ASSERT_TRUE(sender.sendValue(EntryId("e-2"), PeerTopic::Quota, std::string("units")));
    context.run_for(waitLimit);
    ASSERT_TRUE(received.has_value());
    EXPECT_EQ(received->from, EntryId("e-1"));
    EXPECT_EQ(decode<std::string>(received->body), "units");
}

TEST(PeerBus, dropsMessageSealedWithAnotherSecret)
{
    asio::io_context context;
    PeerBus stranger(context, settingsOf("e-1", "wrong"));
    PeerBus sender(context, settingsOf("e-3", "s"));
    PeerBus receiver(context, settingsOf("e-2", "s"));
    std::vector<EntryId> received;
    receiver.subscribe(PeerTopic::Quota, [&](const PeerMessage &message) {
        received.push_back(message.from);
        context.stop();
    });
    ASSERT_TRUE(stranger.start().has_value());
    ASSERT_TRUE(sender.start().has_value());
    ASSERT_TRUE(receiver.start().has_value());
    stranger.setPeers({receiver.self()});
    sender.setPeers({receiver.self()});
    ASSERT_TRUE(stranger.send(EntryId("e-2"), PeerTopic::Quota, "a"));
    ASSERT_TRUE(sender.send(EntryId("e-2"), PeerTopic::Quota, "b"));
    context.run_for(waitLimit);
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(received.front(), EntryId("e-3"));
}

} // namespace
} // namespace cyclamenlatch::membership
