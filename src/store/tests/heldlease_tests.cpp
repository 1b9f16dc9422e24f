// Leases, budgets and attempt ids under passing time.
#include "store/attempt.h"
#include "store/callbudget.h"
#include "store/heldlease.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::store {
namespace {

using std::chrono::seconds;

constexpr TimePoint start{seconds(1000)};

TEST(HeldLease, isNotTrustedAfterAPauseLongerThanItsTime)
{
    HeldLease lease("l-1", seconds(9), start);
    EXPECT_TRUE(lease.isHeld(start + seconds(8)));
    EXPECT_TRUE(lease.isRenewalDue(start + seconds(3)));
    EXPECT_FALSE(lease.isHeld(start + seconds(9)));
    lease.renewed(start + seconds(4));
    EXPECT_TRUE(lease.isHeld(start + seconds(12)));
    EXPECT_FALSE(lease.isHeld(start + seconds(13)));
    lease.lapsed();
    EXPECT_FALSE(lease.isHeld(start));
}

TEST(CallBudget, spacesCallsByItsShareOfTheRate)
{
    CallBudget budget({.callsPerSecond = 10, .burst = 2});
    budget.setSharers(2, start);
    EXPECT_EQ(budget.take(start), Duration::zero());
    EXPECT_EQ(budget.take(start), Duration::zero());
    EXPECT_EQ(budget.take(start), std::chrono::milliseconds(200));
    EXPECT_EQ(budget.take(start + seconds(1)), Duration::zero());
}

TEST(Attempt, survivesRoundTripAndTakesForeignValuesAsTheyAre)
{
    const auto id = makeAttemptId();
    const auto value = splitAttempt(joinAttempt({id, "a\nb"}));
    EXPECT_EQ(value.attempt, id);
    EXPECT_EQ(value.value, "a\nb");
    EXPECT_EQ(splitAttempt("pools: []").value, "pools: []");
    EXPECT_NE(makeAttemptId(), id);
}

} // namespace
} // namespace cyclamenlatch::store
