// Tests of the host client against the stand-in platform.
#include "store/hostclient.h"
#include "tests/platform/inprocessplatform.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::tests {
namespace {

constexpr std::chrono::milliseconds callTimeout{5000};

TEST(HostClient, ListsHostsAndRebootsEachAttemptOnce)
{
    InProcessPlatform platform;
    net::HttpClient http;
    net::HttpCall setUp;
    setUp.method = "POST";
    setUp.url = platform.url() + "/control/hosts";
    setUp.body = R"({"hosts": [{"name": "w-1", "minion": ""}, {"name": "w-2", "minion": ""}],
                     "rebootMs": 10, "lagMs": 0})";
    std::promise<bool> isSetUp;
    http.send(setUp, [&](const net::HttpCallResult &result) {
        isSetUp.set_value(result.reply && result.reply->status == 200);
    });
    ASSERT_TRUE(isSetUp.get_future().get());

    store::HostClient hosts(http, platform.url(), callTimeout);
    const auto reboot = [&](const char *worker, const char *attempt) {
        return InProcessPlatform::await<void>(
                [&](auto completion) { hosts.reboot(WorkerId(worker), attempt, completion); });
    };
    EXPECT_TRUE(reboot("w-2", "wave.w-2").has_value());
    EXPECT_TRUE(reboot("w-2", "wave.w-2").has_value());
    EXPECT_EQ(reboot("w-9", "wave.w-9").error().kind, ErrorKind::NotFound);

    // The list lags; ask until the reboot shows.
    std::vector<store::HostStatus> listed;
    const auto deadline = steadyNow() + std::chrono::seconds(20);
    while (steadyNow() < deadline && (listed.size() < 2 || listed[1].finishedReboot.empty())) {
        auto answer = InProcessPlatform::await<std::vector<store::HostStatus>>(
                [&](auto completion) { hosts.list(completion); });
        ASSERT_TRUE(answer.has_value());
        listed = answer.value();
    }
    ASSERT_EQ(listed.size(), 2U);
    EXPECT_EQ(listed[0].worker, WorkerId("w-1"));
    EXPECT_TRUE(listed[0].live);
    EXPECT_EQ(listed[1].finishedReboot, "wave.w-2");
}

} // namespace
} // namespace cyclamenlatch::tests
