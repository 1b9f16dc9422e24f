// "limit list", "entry list" and "entry gone" against running entries.
#include "net/sendandwait.h"
#include "tests/integration/operatedentry.h"

#include <csignal>
#include <thread>

namespace cyclamenlatch {
namespace {

using testing::ChildProcess;
using testing::OperatedEntry;
using testing::OperatedEntrySettings;

// Asks again until the line that begins with the text goes on with the rest; the test's own time
// limit bounds it.
void awaitLine(const OperatedEntry &entry, const std::vector<std::string> &command,
               const std::string &text, const std::string &rest)
{
    while (entry.ask(command, text).find(rest) == std::string::npos) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
}

void putFleet(const std::string &platformUrl)
{
    net::HttpCall call;
    call.method = "PUT";
    call.url = platformUrl + "/v1/kv/config/fleet?expected=0";
    call.body = "dataCentres: [{name: dc-a}]\nworkspaces: [{name: drivers, limit: 12}]\n";
    net::HttpClient http;
    const auto result = net::sendAndWait(http, std::move(call));
    ASSERT_TRUE(result.reply);
    ASSERT_EQ(result.reply->status, 200);
}

// What the waves know of an entry, as the store holds it.
std::string presenceOf(const std::string &platformUrl, const std::string &entry)
{
    net::HttpCall call;
    call.method = "GET";
    call.url = platformUrl + "/v1/kv/maintenance/entries/" + entry;
    net::HttpClient http;
    const auto result = net::sendAndWait(http, std::move(call));
    for (const auto *presence : {"present", "left", "gone"}) {
        if (result.reply && result.reply->body.find(presence) != std::string::npos) {
            return presence;
        }
    }
    return "";
}

TEST(LimitCommands, showLimitsAndTakeTheWordOnALostEntry)
{
    ChildProcess platform({PLATFORM_PROGRAM, "--port", "0"});
    OperatedEntrySettings settings;
    settings.platformUrl = "http://127.0.0.1:" + platform.waitFor("port ");
    putFleet(settings.platformUrl);
    const OperatedEntry first(settings);
    // The steward draws the data centre's share, which is the whole limit here.
    awaitLine(first, {"limit", "list"}, "held 12", "used 0");
    EXPECT_NE(first.ask({"limit", "list"}, "limit 12     in force, locked"), "");

    settings.name = "e-b";
    settings.seeds = first.seed("e-a");
    OperatedEntry second(settings);
    awaitLine(first, {"entry", "list"}, "e-b", "alive");
    while (presenceOf(settings.platformUrl, "e-b").empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    EXPECT_NE(first.ask({"entry", "gone", "e-b"}, "e-b is alive"), "");
    second.process().kill(SIGKILL);
    awaitLine(first, {"entry", "list"}, "e-b", "silent");
    EXPECT_EQ(presenceOf(settings.platformUrl, "e-b"), "present") << "silence is no proof";
    EXPECT_NE(first.ask({"entry", "gone", "e-b"}, "recorded for 1 registered"), "");
    EXPECT_NE(first.ask({"entry", "list"}, "e-b").find("operators-word"), std::string::npos);
    EXPECT_EQ(presenceOf(settings.platformUrl, "e-b"), "gone");
    EXPECT_NE(first.ask({"entry", "gone", "e-z"}, "no registered entry"), "");
}

} // namespace
} // namespace cyclamenlatch
