// The choice respects slots and prefers the less loaded minion.
#include "routing/minionchoice.h"

#include <gtest/gtest.h>

#include <array>

namespace cyclamenlatch::routing {
namespace {

TEST(MinionChoice, refusesWhenNoSlotIsFree)
{
    Random random(1);
    const std::array<MinionLoad, 2> full{{{WorkerId("a"), 1, 1}, {WorkerId("b"), 0, 0}}};
    EXPECT_FALSE(chooseMinion(full, random).has_value());
}

TEST(MinionChoice, prefersLessLoadedMinion)
{
    Random random(1);
    const std::array<MinionLoad, 2> loads{{{WorkerId("a"), 8, 7}, {WorkerId("b"), 8, 0}}};
    int lessLoaded = 0;
    for (int round = 0; round < 1000; ++round) {
        lessLoaded += chooseMinion(loads, random).value() == 1 ? 1 : 0;
    }
    // The more loaded one wins only when both random choices fall on it.
    EXPECT_GT(lessLoaded, 650);
    EXPECT_LT(lessLoaded, 850);
}

} // namespace
} // namespace cyclamenlatch::routing
