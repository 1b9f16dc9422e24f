// Values outside their ranges are reported with their field; defaults hold for what is left out.
#include "app/entrysettings.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::app {
namespace {

std::string settingsWith(const std::string &lines)
{
    return "entry: e-1\ndataCentre: dc-a\ncallers: {address: 127.0.0.1, port: 0}\n"
           "peers: {address: 127.0.0.1, port: 0, secret: s}\nplatform: http://127.0.0.1:1\n"
           + lines;
}

TEST(EntrySettings, takesDurationsWithinTheirRange)
{
    const auto reading =
            readEntrySettings(settingsWith("callerReadTimeoutMs: 100\nreportGraceMs: 60000\n"));
    ASSERT_TRUE(reading.mistakes.empty()) << reading.mistakes[0].message;
    EXPECT_EQ(reading.settings.callerReadTimeout, std::chrono::milliseconds(100));
    EXPECT_EQ(reading.settings.reportGrace, std::chrono::milliseconds(60000));

    const auto defaults = readEntrySettings(settingsWith(""));
    ASSERT_TRUE(defaults.mistakes.empty());
    EXPECT_EQ(defaults.settings.callerReadTimeout, EntrySettings().callerReadTimeout);
    EXPECT_EQ(defaults.settings.reportGrace, EntrySettings().reportGrace);
}

TEST(EntrySettings, refusesDurationsOutsideTheirRange)
{
    for (const std::string line :
         {"callerReadTimeoutMs: 99", "callerReadTimeoutMs: 600001", "callerReadTimeoutMs: never",
          "reportGraceMs: -1", "reportGraceMs: 60001"}) {
        const auto reading = readEntrySettings(settingsWith(line + "\n"));
        ASSERT_EQ(reading.mistakes.size(), 1U) << line;
        const auto field = line.substr(0, line.find(':'));
        EXPECT_NE(reading.mistakes[0].message.find(field), std::string::npos)
                << reading.mistakes[0].message;
    }
}

} // namespace
} // namespace cyclamenlatch::app
