// Peer messages survive encoding; hostile lengths and short messages are refused.
#include "membership/peermessage.h"

#include <cereal/types/vector.hpp>
#include <gtest/gtest.h>

namespace cyclamenlatch::membership {
namespace {

TEST(PeerMessage, survivesEncoding)
{
    const PeerMessage message{EntryId("e-1"), DataCentreId("dc-a"), 7, PeerTopic::Quota, "units"};
    const auto decoded = decode<PeerMessage>(encode(message));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->from, message.from);
    EXPECT_EQ(decoded->incarnation, 7U);
    EXPECT_EQ(decoded->topic, PeerTopic::Quota);
    EXPECT_EQ(decoded->body, "units");
}

TEST(PeerMessage, refusesLengthBeyondItsBytes)
{
    // One byte for the byte order, then a length of 2^62 and nothing behind it.
    const std::string hostile("\x01\x00\x00\x00\x00\x00\x00\x00\x40", 9);
    EXPECT_FALSE(decode<std::string>(hostile).has_value());
    EXPECT_FALSE(decode<std::vector<std::string>>(hostile).has_value());
    EXPECT_FALSE(decode<PeerMessage>(hostile).has_value());
}

TEST(PeerMessage, refusesEveryTruncation)
{
    const PeerMessage message{EntryId("e-1"), DataCentreId("dc-a"), 7, PeerTopic::Quota, "units"};
    const auto whole = encode(message);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_FALSE(decode<PeerMessage>(whole.substr(0, size)).has_value()) << size;
    }
}

} // namespace
} // namespace cyclamenlatch::membership
