// Fair queueing divides slot time by weight, skips blocked queues and workspaces, and never starts
// removed requests.
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
    FairQueue fairQueue;
    std::map<Ticket, WorkspaceId> owners;
    for (Ticket ticket = 1; ticket <= 4000; ++ticket) {
        owners[ticket] = ticket % 2 == 0 ? large : small;
        fairQueue.push(ticket, owners[ticket], queue, ticket % 2 == 0 ? 3 : 1);
    }
    std::map<WorkspaceId, int> started;
    int total = 0;
    fairQueue.startAll([&](Ticket ticket) {
        if (total == 1000) {
            return FairQueue::Start::QueueBlocked;
        }
        ++total;
        const auto &owner = owners[ticket];
        ++started[owner];
        fairQueue.charge(owner, owner == large ? 3 : 1, 1);
        return FairQueue::Start::Started;
    });
    EXPECT_NEAR(started[large], 750, 2);
    EXPECT_NEAR(started[small], 250, 2);
}

// Returns how many of the first started requests belong to the small workspace.
int smallAmongFirst(FairQueue &fairQueue, int count)
{
    int smallStarted = 0;
    int total = 0;
    fairQueue.startAll([&](Ticket ticket) {
        if (total == count) {
            return FairQueue::Start::QueueBlocked;
        }
        ++total;
        const bool isSmall = ticket % 2 == 0;
        smallStarted += isSmall ? 1 : 0;
        fairQueue.charge(isSmall ? small : large, 1, 1);
        return FairQueue::Start::Started;
    });
    return smallStarted;
}

TEST(FairQueue, useThroughAnotherEntryIsCharged)
{
    FairQueue fairQueue;
    for (Ticket ticket = 1; ticket <= 200; ++ticket) {
        fairQueue.push(ticket, ticket % 2 == 0 ? small : large, queue, 1);
    }
    fairQueue.chargeRemote(large, 1, 20);
    EXPECT_NEAR(smallAmongFirst(fairQueue, 60), 40, 1);
}

TEST(FairQueue, useThroughAnotherEntryGivesIdleWorkspacesNoCredit)
{
    FairQueue fairQueue;
    for (int run = 0; run < 100; ++run) {
        fairQueue.chargeRemote(large, 1, 1);
    }
    for (Ticket ticket = 1; ticket <= 200; ++ticket) {
        fairQueue.push(ticket, ticket % 2 == 0 ? small : large, queue, 1);
    }
    EXPECT_NEAR(smallAmongFirst(fairQueue, 60), 30, 2);
}

TEST(FairQueue, runsLongerThanEstimatedAreChargedAtTheirEnd)
{
    FairQueue fairQueue;
    for (Ticket ticket = 1; ticket <= 100; ++ticket) {
        fairQueue.push(ticket, ticket <= 50 ? large : small, queue, 1);
    }
    // The runs of the first workspace take ten times as long as estimated.
    int largeStarted = 0;
    int total = 0;
    fairQueue.startAll([&](Ticket ticket) {
        if (total == 44) {
            return FairQueue::Start::QueueBlocked;
        }
        ++total;
        const bool isLarge = ticket <= 50;
        largeStarted += isLarge ? 1 : 0;
        fairQueue.charge(isLarge ? large : small, 1, 1);
        fairQueue.charge(isLarge ? large : small, 1, isLarge ? 9 : 0);
        return FairQueue::Start::Started;
    });
    EXPECT_NEAR(largeStarted, 4, 1);
}

TEST(FairQueue, workspaceAtItsLimitDoesNotBlockOthers)
{
    FairQueue fairQueue;
    fairQueue.push(1, large, queue, 1);
    fairQueue.push(2, small, queue, 1);
    std::vector<Ticket> started;
    bool largeIsFull = true;
    const auto tryStart = [&](Ticket ticket) {
        if (ticket == 1 && largeIsFull) {
            return FairQueue::Start::WorkspaceBlocked;
        }
        started.push_back(ticket);
        return FairQueue::Start::Started;
    };
    fairQueue.startAll(tryStart);
    EXPECT_EQ(started, std::vector<Ticket>{2});
    largeIsFull = false;
    fairQueue.startAll(tryStart);
    EXPECT_EQ(started.size(), 1U) << "skipped until it is unblocked";
    fairQueue.unblock(large);
    fairQueue.startAll(tryStart);
    EXPECT_EQ(started, (std::vector<Ticket>{2, 1}));
    EXPECT_EQ(fairQueue.size(), 0U);
}

TEST(FairQueue, removedRequestNeverStarts)
{
    FairQueue fairQueue;
    fairQueue.push(1, large, queue, 1);
    fairQueue.push(2, large, queue, 1);
    EXPECT_TRUE(fairQueue.remove(1));
    EXPECT_FALSE(fairQueue.remove(1));
    std::vector<Ticket> started;
    fairQueue.startAll([&](Ticket ticket) {
        started.push_back(ticket);
        return FairQueue::Start::Started;
    });
    EXPECT_EQ(started, std::vector<Ticket>{2});
}

TEST(FairQueue, blockedQueueDoesNotBlockAnother)
{
    FairQueue fairQueue;
    fairQueue.push(1, large, queue, 1);
    fairQueue.push(2, large, QueueId("other"), 1);
    std::vector<Ticket> started;
    fairQueue.startAll([&](Ticket ticket) {
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
