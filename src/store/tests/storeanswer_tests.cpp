// Malformed answers of the store are errors, never exceptions or values.
#include "store/storeanswer.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::store {
namespace {

net::HttpCallResult answerOf(const std::string &body)
{
    net::HttpCallResult result;
    result.reply.emplace();
    result.reply->body = body;
    return result;
}

TEST(StoreAnswer, refusesMalformedBodies)
{
    for (const auto *body : {"", "7", "[]", "{}", R"({"lease": 5, "revision": "x", "items": 3})"}) {
        const auto answer = answerOf(body);
        EXPECT_FALSE(judgeListing(answer).has_value()) << body;
        EXPECT_FALSE(judgeItem(answer).has_value()) << body;
        EXPECT_FALSE(judgeGrant(answer).has_value()) << body;
        EXPECT_EQ(judgeRevision(answer).error().kind, ErrorKind::Unknown) << body;
    }
}

} // namespace
} // namespace cyclamenlatch::store
