// One minion fails fast, one is silent, one is slow, among ten. Figure: share of idempotent
// requests that succeed within their deadline, against round robin without retries.
#include "bench/figure.h"
#include "bench/schedulersimulation.h"
#include "bench/simulatedfleet.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the arrivals and run times");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;

constexpr unsigned workers = 10;
constexpr unsigned slots = 8;
constexpr Duration meanWork = std::chrono::milliseconds(50);
constexpr Duration timeout = std::chrono::seconds(10);
constexpr Duration length = std::chrono::seconds(60);
// Half of what the seven healthy minions serve.
constexpr double rate = 560;

double successShare(Policy policy, std::uint64_t seed)
{
    SchedulerSimulation simulation(makeFleet(1, workers, slots, true, 2), policy, seed);
    simulation.setFault(WorkerId("q-0-w-0"), MinionFault::FailsFast);
    simulation.setFault(WorkerId("q-0-w-1"), MinionFault::Silent);
    simulation.setFault(WorkerId("q-0-w-2"), MinionFault::Slow);
    Random random(seed);
    const auto gap = gapOf(rate);
    for (Duration at = exponential(gap, random); at < length; at += exponential(gap, random)) {
        simulation.submitAt(at, {QueueId("q-0"), WorkspaceId("drivers"),
                                 exponential(meanWork, random), timeout});
    }
    simulation.runUntil(length + 2 * timeout);
    return simulation.shareInDeadline();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    print({"faulty", "success", successShare(Policy::Scheduler, FLAGS_seed), "share of requests",
           successShare(Policy::RoundRobin, FLAGS_seed), ">= 0.999", FLAGS_seed});
    return 0;
}
