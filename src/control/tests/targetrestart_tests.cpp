// Orders that are on their way while their target restarts under its id and address: the core, the
// codec and the client against a target on loopback.
#include "net/loophttpclient.h"
#include "platform/targetcodec.h"
#include "platform/tests/restartingtarget.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::control {

namespace {

using namespace std::chrono_literals;
using scheduling::KeepAliveOrder;
using scheduling::OrderResult;
using scheduling::StartOrder;
using scheduling::StopOrder;

class TargetRestartFixture : public scheduling::tests::OwnerFixture
{
public:
    TargetRestartFixture()
    {
        scheduling::TargetInfo info;
        info.id = "t1";
        info.service = service;
        info.address = target.address();
        info.capacity = scheduling::Resources{16000, 64000, 0};
        core.targetListed(info, now);
        core.targetRecorded("t1");
        EXPECT_TRUE(keepAlive());
    }

    ~TargetRestartFixture() { m_client.reset(); }
    TargetRestartFixture(const TargetRestartFixture &) = delete;
    TargetRestartFixture &operator=(const TargetRestartFixture &) = delete;

    std::shared_ptr<std::optional<net::HttpCallResult>> send(net::HttpCall call)
    {
        call.timeout = 5s;
        auto result = std::make_shared<std::optional<net::HttpCallResult>>();
        m_client->send(std::move(call), [result](auto answer) { *result = std::move(answer); });
        return result;
    }

    net::HttpCallResult wait(const std::shared_ptr<std::optional<net::HttpCallResult>> &result)
    {
        EXPECT_TRUE(runUntil([&] { return result->has_value(); }));
        return result->value_or(net::HttpCallResult{});
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(1ms);
            target.poll();
        }
        return isDone();
    }

    net::HttpCall keepAliveCall(const KeepAliveOrder &order) const
    {
        return platform::keepAliveCall(*core.target("t1"), order);
    }

    // Sends the next keep-alive and handles its answer; returns whether there was one.
    bool keepAlive()
    {
        const auto order = core.keepAliveOrder("t1", now);
        auto reply = platform::decodeKeepAliveReply(wait(send(keepAliveCall(*order))));
        if (!reply.report) {
            core.keepAliveFailed("t1", now);
            return false;
        }
        reply.report->token = order->token;
        core.keepAliveAnswered("t1", *reply.report, now, now);
        return true;
    }

    OrderResult sendStart(const StartOrder &order)
    {
        const auto result = platform::decodeOrderReply(
                wait(send(platform::startCall(*core.target("t1"), order, "text"))));
        core.startAnswered(order, result, now);
        return result;
    }

    OrderResult sendStop(const StopOrder &order)
    {
        return platform::decodeOrderReply(
                wait(send(platform::stopCall(*core.target("t1"), order))));
    }

    // The call has passed the check of its connection and is delivered to whoever is there now.
    void deliverLate(net::HttpCall call)
    {
        call.peerCheck.reset();
        EXPECT_TRUE(wait(send(std::move(call))).reply);
    }

    // The target restarts with another clock, and its open connections end. The owner learns of
    // that with its next call.
    void restartTarget()
    {
        target.answersKeepAlives = false;
        const auto waiting = send(keepAliveCall(*core.keepAliveOrder("t1", now)));
        EXPECT_TRUE(runUntil([&] { return target.now.leaseUntil > target.now.clock + 4s; }));
        target.crash();
        EXPECT_FALSE(wait(waiting).reply);
        target.answersKeepAlives = true;
        target.start({2000, 4'000'000ms});
    }

private:
    asio::io_context m_context;
    std::unique_ptr<net::LoopHttpClient> m_client =
            std::make_unique<net::LoopHttpClient>(m_context, net::HttpClientSettings{});

public:
    platform::tests::RestartingTarget target;
};

} // namespace

// Guards against a task that runs twice: a start for an earlier incarnation gave the next one a
// lease of 10 s, and the owner, which counted on 4.5 s, started the task elsewhere meanwhile.
TEST(TargetRestart, startForAnEarlierIncarnationNeitherRunsNorGrantsALease)
{
    TargetRestartFixture fixture;
    fixture.submit(7, {scheduling::tests::makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    fixture.restartTarget();
    EXPECT_NE(fixture.sendStart(starts[0]), OrderResult::Accepted);
    EXPECT_TRUE(fixture.target.now.started.empty());
    EXPECT_EQ(fixture.target.now.leaseUntil, 0ms);
}

// Guards against a task that runs twice where something between the owner and the target holds
// calls back while the target restarts: they arrive after the owner has met the new incarnation.
TEST(TargetRestart, callsThatArriveAfterTheFirstOneToTheNextIncarnationAreRefused)
{
    TargetRestartFixture fixture;
    fixture.submit(7, {scheduling::tests::makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    const auto lease = fixture.core.keepAliveOrder("t1", fixture.now);
    ASSERT_GT(lease->leaseUntil, 0ms);
    fixture.restartTarget();
    ASSERT_TRUE(fixture.keepAlive());
    ASSERT_TRUE(fixture.keepAlive());
    fixture.deliverLate(platform::startCall(*fixture.core.target("t1"), starts[0], "text"));
    fixture.deliverLate(fixture.keepAliveCall(*lease));
    EXPECT_TRUE(fixture.target.now.started.empty());
    EXPECT_LE(fixture.target.now.leaseUntil, fixture.target.now.clock + 4500ms);
}

// Guards against a task that runs twice: the lease of a keep-alive ends on the earlier clock.
TEST(TargetRestart, keepAliveForAnEarlierIncarnationGrantsNoLease)
{
    TargetRestartFixture fixture;
    const auto order = fixture.core.keepAliveOrder("t1", fixture.now);
    ASSERT_GT(order->leaseUntil, 0ms);
    fixture.restartTarget();
    fixture.wait(fixture.send(fixture.keepAliveCall(*order)));
    EXPECT_EQ(fixture.target.now.leaseUntil, 0ms);
}

// Guards against ends that nobody has read: the numbers of ends start anew in each incarnation, so
// the number that an earlier one may forget would make the next one forget its first ends.
TEST(TargetRestart, keepAliveForAnEarlierIncarnationForgetsNoEnds)
{
    for (const bool isLeaseGranted : {true, false}) {
        TargetRestartFixture fixture;
        KeepAliveOrder order = *fixture.core.keepAliveOrder("t1", fixture.now);
        order.endsRecorded = 57;
        order.leaseUntil = isLeaseGranted ? order.leaseUntil : 0ms;
        fixture.restartTarget();
        fixture.wait(fixture.send(fixture.keepAliveCall(order)));
        EXPECT_EQ(fixture.target.now.endsForgotten, 0U);
    }
}

// A stop for an earlier incarnation must not make the next one refuse an attempt.
TEST(TargetRestart, stopForAnEarlierIncarnationIsNotSent)
{
    TargetRestartFixture fixture;
    fixture.submit(7, {scheduling::tests::makeStep(1)});
    ASSERT_EQ(fixture.sendStarts().size(), 1U);
    fixture.core.jobCancelled(7, fixture.now);
    const auto stops = fixture.planned<StopOrder>();
    ASSERT_EQ(stops.size(), 1U);
    fixture.restartTarget();
    EXPECT_NE(fixture.sendStop(stops[0]), OrderResult::Accepted);
    EXPECT_TRUE(fixture.target.now.stopped.empty());
}

// The new incarnation is noticed with the next keep-alive, and gets work under leases of its clock.
TEST(TargetRestart, nextIncarnationGetsWorkUnderALeaseOnItsOwnClock)
{
    TargetRestartFixture fixture;
    fixture.submit(7, {scheduling::tests::makeStep(1)});
    const auto starts = fixture.sendStarts();
    ASSERT_EQ(starts.size(), 1U);
    fixture.restartTarget();
    fixture.sendStart(starts[0]);
    ASSERT_TRUE(fixture.keepAlive());
    fixture.advance(1s);
    std::vector<StartOrder> next;
    for (int round = 0; round < 5 && next.empty(); ++round) {
        next = fixture.sendStarts();
    }
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(fixture.sendStart(next[0]), OrderResult::Accepted);
    EXPECT_EQ(fixture.target.now.started.size(), 1U);
    EXPECT_LE(fixture.target.now.leaseUntil, fixture.target.now.clock + 6s);
}

} // namespace cyclamenlatch::control
