// Lines of the event log stay whole whatever names they contain.
#include "control/controlevents.h"
#include "control/eventlog.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::control {

// Guards against lines that a name from another process would end or forge.
TEST(EventLog, replacesControlBytesOfNames)
{
    asio::io_context context;
    testing::internal::CaptureStdout();
    {
        EventLog log(context, "edge-1");
        logEvent(recordUnreadable, "key={} revision={}", "servers/i\n1 E1800\r\x7f", 5);
    }
    const auto text = testing::internal::GetCapturedStdout();
    EXPECT_NE(text.find("key=servers/i?1 E1800?? revision=5\n"), std::string::npos) << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
}

} // namespace cyclamenlatch::control
