// A limit holds over real processes while an entry is paused, killed and restarted under a flood.
// The only minion judges: its own peak for the workspace is the peak of the whole fleet.
#include "tests/integration/processes.h"

#include <gtest/gtest.h>

namespace cyclamenlatch {
namespace {

constexpr unsigned limit = 12;

TEST(QuotaProcesses, limitHoldsWhileAnEntryIsPausedKilledAndRestarted)
{
    testing::Processes processes(3, limit);
    testing::Flood flood(processes.urls(), 40);
    processes.await([&] { return processes.mostRunning("drivers") >= limit / 2; });
    const auto letRun = [] { std::this_thread::sleep_for(std::chrono::milliseconds(800)); };
    letRun();
    processes.entry(0).signal(SIGSTOP);
    letRun();
    processes.entry(0).signal(SIGCONT);
    letRun();
    processes.entry(1).kill(SIGKILL);
    letRun();
    processes.startEntry(1);
    letRun();
    const auto completed = flood.completed();
    processes.await([&] { return flood.completed() > completed; });
    EXPECT_LE(processes.mostRunning("drivers"), limit);
}

} // namespace
} // namespace cyclamenlatch
