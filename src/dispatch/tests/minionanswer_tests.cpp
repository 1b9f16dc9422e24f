// Each kind of missing or wrong answer from a minion leads to the correct outcome.
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

TEST(MinionAnswer, completeAnswerToThisRequestIsCompleted)
{
    const auto answer = classifyMinionAnswer(answered("r-1"), "r-1");
    EXPECT_EQ(answer.outcome, Outcome::Completed);
    EXPECT_EQ(answer.body, "rosters");
}

TEST(MinionAnswer, answerToAnotherRequestIsUnknownAndNotRelayed)
{
    const auto answer = classifyMinionAnswer(answered("r-2"), "r-1");
    EXPECT_EQ(answer.outcome, Outcome::Unknown);
    EXPECT_TRUE(answer.body.empty());
}

TEST(MinionAnswer, onlyUnsentOrRefusedRequestIsNotRun)
{
    net::HttpCallResult unsent;
    EXPECT_EQ(classifyMinionAnswer(unsent, "r-1").outcome, Outcome::NotRun);

    net::HttpCallResult lost;
    lost.sendState = net::SendState::MaybeSent;
    EXPECT_EQ(classifyMinionAnswer(lost, "r-1").outcome, Outcome::Unknown);

    auto refused = answered("r-1");
    refused.reply->headers.add("Minion-Started", "no");
    EXPECT_EQ(classifyMinionAnswer(refused, "r-1").outcome, Outcome::NotRun);
}

} // namespace
} // namespace cyclamenlatch::dispatch
