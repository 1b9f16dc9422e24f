// Name tables look up in both directions.
#include "global/error.h"
#include "global/errorkind.h"

#include <gtest/gtest.h>

namespace cyclamenlatch {
namespace {

TEST(NameTable, findsValueByNameAndNameByValue)
{
    EXPECT_EQ(errorKindNames.name(ErrorKind::TooLarge), "too-large");
    EXPECT_EQ(errorKindNames.value("conflict"), ErrorKind::Conflict);
    EXPECT_FALSE(errorKindNames.value("no-such-kind").has_value());
}

TEST(Error, namesKindMessageAndRemedy)
{
    const Error error{ErrorKind::NotFound, "queue \"x\" does not exist", "list the queues"};
    EXPECT_EQ(error.toString(), "not-found: queue \"x\" does not exist; list the queues");
}

} // namespace
} // namespace cyclamenlatch
