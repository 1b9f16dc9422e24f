// Every minion of the pool refuses. Figure: calls to minions for each request, against three
// retries without a budget.
#include "bench/figure.h"
#include "bench/schedulersimulation.h"
#include "bench/simulatedfleet.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;

constexpr unsigned workers = 10;
constexpr unsigned slots = 8;
constexpr Duration work = std::chrono::milliseconds(50);
constexpr Duration timeout = std::chrono::seconds(2);
constexpr Duration length = std::chrono::seconds(60);
constexpr double rate = 400;

double amplification(Policy policy, std::uint64_t seed)
{
    SchedulerSimulation simulation(makeFleet(1, workers, slots, true, 2), policy, seed);
    for (unsigned index = 0; index < workers; ++index) {
        simulation.setFault(WorkerId("q-0-w-" + std::to_string(index)), MinionFault::Refuses);
    }
    Random random(seed);
    const auto gap = gapOf(rate);
    for (Duration at = exponential(gap, random); at < length; at += exponential(gap, random)) {
        simulation.submitAt(at, {QueueId("q-0"), WorkspaceId("drivers"), work, timeout});
    }
    simulation.runUntil(length + 2 * timeout);
    return static_cast<double>(simulation.calls()) / static_cast<double>(simulation.requestCount());
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    print({"retry", "amplification", amplification(Policy::Scheduler, FLAGS_seed),
           "calls per request", amplification(Policy::RoundRobinRetrying, FLAGS_seed), "<= 1.1",
           FLAGS_seed});
    return 0;
}
