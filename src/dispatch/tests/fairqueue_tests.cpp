// Fair queueing shares slot time by weight, skips what is blocked, and forgets what is removed.
#include "dispatch/fairqueue.h"

#include <gtest/gtest.h>

#include <map>

namespace cyclamenlatch::dispatch {
namespace {

const WorkspaceId large("large");
const WorkspaceId small("small");
const QueueId queue("swaps");

TEST(FairQueue, sharesSlotTimeByWeight)
{
    FairQueue line;
    std::map<Ticket, WorkspaceId> owners;
    for (Ticket ticket = 1; ticket <= 4000; ++ticket) {
        owners[ticket] = ticket % 2 == 0 ? large : small;
        line.push(ticket, owners[ticket], queue, ticket % 2 == 0 ? 3 : 1);
    }
    std::map<WorkspaceId, int> started;
    int total = 0;
    line.startAll([&](Ticket ticket) {
        if (total == 1000) {
            return FairQueue::Start::QueueBlocked;
        }
        ++total;
        const auto &owner = owners[ticket];
        ++started[owner];
        line.charge(owner, owner == large ? 3 : 1, 1);
        return FairQueue::Start::Started;
    });
    EXPECT_NEAR(started[large], 750, 2);
    EXPECT_NEAR(started[small], 250, 2);
}

// How many of the first requests that start are the small workspace's.
int smallAmongFirst(FairQueue &line, int count)
{
    int smallStarted = 0;
    int total = 0;
    line.startAll([&](Ticket ticket) {
        if (total == count) {
            return FairQueue::Start::QueueBlocked;
        }
        ++total;
        const bool isSmall = ticket % 2 == 0;
        smallStarted += isSmall ? 1 : 0;
        line.charge(isSmall ? small : large, 1, 1);
        return FairQueue::Start::Started;
    });
    return smallStarted;
}

TEST(FairQueue, useThroughAnotherEntryIsPaidForHere)
{
    FairQueue line;
    for (Ticket ticket = 1; ticket <= 200; ++ticket) {
        line.push(ticket, ticket % 2 == 0 ? small : large, queue, 1);
    }
    line.chargeRemote(large, 1, 20);
    EXPECT_NEAR(smallAmongFirst(line, 60), 40, 1);
}

TEST(FairQueue, useThroughAnotherEntryGivesNoClaimToThoseWhoWereIdle)
{
    FairQueue line;
    for (int run = 0; run < 100; ++run) {
        line.chargeRemote(large, 1, 1);
    }
    for (Ticket ticket = 1; ticket <= 200; ++ticket) {
        line.push(ticket, ticket % 2 == 0 ? small : large, queue, 1);
    }
    EXPECT_NEAR(smallAmongFirst(line, 60), 30, 2);
}

TEST(FairQueue, longRunsArePaidForLater)
{
    FairQueue line;
    for (Ticket ticket = 1; ticket <= 100; ++ticket) {
        line.push(ticket, ticket <= 50 ? large : small, queue, 1);
    }
    // Runs of the first workspace take ten times as long as estimated.
    int largeStarted = 0;
    int total = 0;
    line.startAll([&](Ticket ticket) {
        if (total == 44) {
            return FairQueue::Start::QueueBlocked;
        }
        ++total;
        const bool isLarge = ticket <= 50;
        largeStarted += isLarge ? 1 : 0;
        line.charge(isLarge ? large : small, 1, 1);
        line.charge(isLarge ? large : small, 1, isLarge ? 9 : 0);
        return FairQueue::Start::Started;
    });
    EXPECT_NEAR(largeStarted, 4, 1);
}

TEST(FairQueue, workspaceAtItsLimitDoesNotHoldUpOthers)
{
    FairQueue line;
    line.push(1, large, queue, 1);
    line.push(2, small, queue, 1);
    std::vector<Ticket> started;
    bool largeIsFull = true;
    const auto tryStart = [&](Ticket ticket) {
        if (ticket == 1 && largeIsFull) {
            return FairQueue::Start::WorkspaceBlocked;
        }
        started.push_back(ticket);
        return FairQueue::Start::Started;
    };
    line.startAll(tryStart);
    EXPECT_EQ(started, std::vector<Ticket>{2});
    largeIsFull = false;
    line.startAll(tryStart);
    EXPECT_EQ(started.size(), 1U) << "parked until it is told";
    line.unblock(large);
    line.startAll(tryStart);
    EXPECT_EQ(started, (std::vector<Ticket>{2, 1}));
    EXPECT_EQ(line.size(), 0U);
}

TEST(FairQueue, removedRequestNeverStarts)
{
    FairQueue line;
    line.push(1, large, queue, 1);
    line.push(2, large, queue, 1);
    EXPECT_TRUE(line.remove(1));
    EXPECT_FALSE(line.remove(1));
    std::vector<Ticket> started;
    line.startAll([&](Ticket ticket) {
        started.push_back(ticket);
        return FairQueue::Start::Started;
    });
    EXPECT_EQ(started, std::vector<Ticket>{2});
}

TEST(FairQueue, blockedQueueDoesNotHoldUpAnother)
{
    FairQueue line;
    line.push(1, large, queue, 1);
    line.push(2, large, QueueId("other"), 1);
    std::vector<Ticket> started;
    line.startAll([&](Ticket ticket) {
        if (ticket == 1) {
            return FairQueue::Start::QueueBlocked;
        }
        started.push_back(ticket);
        return FairQueue::Start::Started;
    });
    EXPECT_EQ(started, std::vector<Ticket>{2});
}

} // namespace
} // namespace cyclamenlatch::dispatch
