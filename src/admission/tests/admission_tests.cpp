// Keys admit only to their own workspace.
#include "admission/admission.h"
#include "admission/keysecret.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::admission {
namespace {

fleet::FleetDocument makeFleet()
{
    fleet::FleetDocument fleet;
    fleet.keys.push_back({KeyId("k-1"), WorkspaceId("drivers"), hashSecret("s3cret")});
    return fleet;
}

TEST(Admission, admitsKeyForItsWorkspace)
{
    const auto admitted = admit(makeFleet(), fleet::Queue{}, "k-1.s3cret");
    ASSERT_TRUE(admitted.has_value());
    EXPECT_EQ(admitted.value(), WorkspaceId("drivers"));
}

TEST(Admission, refusesWrongAndUnknownKeysAlike)
{
    const auto wrong = admit(makeFleet(), fleet::Queue{}, "k-1.other");
    const auto unknown = admit(makeFleet(), fleet::Queue{}, "k-2.s3cret");
    const auto malformed = admit(makeFleet(), fleet::Queue{}, "k-1");
    ASSERT_FALSE(wrong.has_value());
    ASSERT_FALSE(unknown.has_value());
    ASSERT_FALSE(malformed.has_value());
    EXPECT_EQ(wrong.error().message, unknown.error().message);
    EXPECT_EQ(wrong.error().message, malformed.error().message);
}

TEST(Admission, openQueueNeedsNoKeyButRefusesWrongOne)
{
    fleet::Queue queue;
    queue.open = true;
    EXPECT_EQ(admit(makeFleet(), queue, "").value(), WorkspaceId());
    EXPECT_FALSE(admit(makeFleet(), queue, "k-1.other").has_value());
}

} // namespace
} // namespace cyclamenlatch::admission
