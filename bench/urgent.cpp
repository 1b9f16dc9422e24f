// The whole fleet of the size to design for, full of normal work through eight entries, with some
// urgent requests. Figure: the p99 wait of urgent requests for their start, against the same
// requests in a queue that is not urgent.
#include "bench/entriessimulation.h"
#include "bench/figure.h"
#include "bench/simulatedfleet.h"
#include "global/quantile.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the arrivals and run times");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;

constexpr unsigned entries = 8;
constexpr unsigned pools = 150;
// 1,350 workers.
constexpr unsigned workersPerPool = 9;
constexpr unsigned slots = 8;
constexpr double overload = 1.2;
// Of all requests.
constexpr double urgentShare = 0.02;
constexpr Duration length = std::chrono::seconds(20);

double waitOfUrgent(bool urgentClass, Duration meanWork, std::uint64_t seed)
{
    const Duration timeout = 5 * meanWork;
    auto fleet = makeFleet(pools, workersPerPool, slots, false, 2);
    for (unsigned pool = 0; pool < pools; ++pool) {
        auto queue = fleet.queues[pool];
        queue.id = QueueId("urgent-" + std::to_string(pool));
        queue.urgent = urgentClass;
        fleet.queues.push_back(queue);
    }
    EntriesSimulation simulation(fleet, entries, Exchange::Digests, seed);
    Random random(seed);
    const double rate = pools * workersPerPool * slots * overload / toSeconds(meanWork);
    const auto gap = gapOf(rate);
    std::vector<std::size_t> urgent;
    for (Duration at{0}; at < length; at += exponential(gap, random)) {
        const auto pool = std::to_string(uniformBelow(random, pools));
        const bool isUrgent = uniformReal(random) < urgentShare;
        if (isUrgent && at > length / 4) {
            urgent.push_back(simulation.requestCount());
        }
        simulation.submitAt(at, uniformBelow(random, entries),
                            {QueueId((isUrgent ? "urgent-" : "q-") + pool), WorkspaceId("drivers"),
                             exponential(meanWork, random), timeout});
    }
    simulation.runUntil(length + timeout);
    std::vector<double> waits;
    for (const auto index : urgent) {
        const auto &end = simulation.ends()[index];
        // One that never started waited for its whole time.
        waits.push_back(toSeconds(end.started ? end.wait : timeout));
    }
    return quantile(std::move(waits), 0.99);
}

void printWait(const std::string &name, Duration meanWork)
{
    print({"urgent", name, waitOfUrgent(true, meanWork, FLAGS_seed), "s",
           waitOfUrgent(false, meanWork, FLAGS_seed), "<= 1.3", FLAGS_seed});
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    printWait("start-p99-work-1s", std::chrono::seconds(1));
    printWait("start-p99-work-4s", std::chrono::seconds(4));
    return 0;
}
