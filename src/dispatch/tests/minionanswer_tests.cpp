// Every way a minion's answer can go wrong has its true outcome.
#include "dispatch/minionanswer.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::dispatch {
namespace {

net::HttpCallResult answered(const std::string &requestId)
{
    net::HttpCallResult result;
    result.sendState = net::SendState::MaybeSent;
    result.reply = net::HttpReply{};
    result.reply->headers.add("Request-Id", requestId);
    result.reply->body = "rosters";
    return result;
}

TEST(MinionAnswer, wholeAnswerToThisRequestCompletes)
{
    const auto answer = judgeMinionAnswer(answered("r-1"), "r-1");
    EXPECT_EQ(answer.outcome, Outcome::Completed);
    EXPECT_EQ(answer.body, "rosters");
}

TEST(MinionAnswer, crossedAnswerIsUnknownAndNotRelayed)
{
    const auto answer = judgeMinionAnswer(answered("r-2"), "r-1");
    EXPECT_EQ(answer.outcome, Outcome::Unknown);
    EXPECT_TRUE(answer.body.empty());
}

TEST(MinionAnswer, onlyUnsentOrRefusedRequestIsNotRun)
{
    net::HttpCallResult unsent;
    EXPECT_EQ(judgeMinionAnswer(unsent, "r-1").outcome, Outcome::NotRun);

    net::HttpCallResult lost;
    lost.sendState = net::SendState::MaybeSent;
    EXPECT_EQ(judgeMinionAnswer(lost, "r-1").outcome, Outcome::Unknown);

    auto refused = answered("r-1");
    refused.reply->headers.add("Minion-Started", "no");
    EXPECT_EQ(judgeMinionAnswer(refused, "r-1").outcome, Outcome::NotRun);
}

} // namespace
} // namespace cyclamenlatch::dispatch
