// Three entries over the same minions. Queues take turns as in "burst", and each caller comes
// through an entry at random, or all of them through one. Figures: what ran above the minions'
// slots, and what was answered in its deadline.
#include "bench/entriessimulation.h"
#include "bench/figure.h"
#include "bench/simulatedfleet.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the arrivals and run times");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;

constexpr unsigned entries = 3;
constexpr unsigned pools = 5;
constexpr unsigned workersPerPool = 10;
constexpr unsigned slots = 8;
constexpr Duration meanWork = std::chrono::milliseconds(200);
constexpr Duration timeout = std::chrono::seconds(2);
constexpr Duration turn = std::chrono::seconds(5);
constexpr Duration length = std::chrono::seconds(100);
constexpr double meanRate = 120;
constexpr double burstFactor = 5;
constexpr double troughFactor = 0.05;

struct Figures
{
    SharedUse use;
    double inDeadline = 0;
    double bytesPerSecond = 0;
};

Figures measure(Exchange exchange, bool oneEntry, std::uint64_t seed)
{
    EntriesSimulation simulation(makeFleet(pools, workersPerPool, slots, false, 2), entries,
                                 exchange, seed);
    Random random(seed);
    for (unsigned pool = 0; pool < pools; ++pool) {
        Duration at{0};
        while (at < length) {
            const bool bursts = (at / turn) % pools == pool;
            const double rate = meanRate * (bursts ? burstFactor : troughFactor);
            at += exponential(
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate)),
                    random);
            const unsigned entry = oneEntry ? 0 : uniformBelow(random, entries);
            simulation.submitAt(at, entry,
                                {QueueId("q-" + std::to_string(pool)), WorkspaceId("drivers"),
                                 exponential(meanWork, random), timeout});
        }
    }
    simulation.runUntil(length + 10 * timeout);
    return {simulation.use(), simulation.shareInDeadline(), simulation.bytesPerSecond(0)};
}

void printFigures(const std::string &load, bool oneEntry)
{
    const auto shared = measure(Exchange::Digests, oneEntry, FLAGS_seed);
    const auto alone = measure(Exchange::None, oneEntry, FLAGS_seed);
    print({"slots", load + "-run-above-slots", shared.use.overShare(), "share of slot time",
           alone.use.overShare(), "", FLAGS_seed});
    print({"slots", load + "-most-on-one-minion", double(shared.use.mostRunning), "requests",
           double(alone.use.mostRunning), "8", FLAGS_seed});
    print({"slots", load + "-answered-in-deadline", shared.inDeadline, "share of requests",
           alone.inDeadline, "", FLAGS_seed});
    print({"slots", load + "-digest-bodies", shared.bytesPerSecond, "B/s sent by an entry",
           alone.bytesPerSecond, "<= 4000", FLAGS_seed});
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    printFigures("all-entries", false);
    printFigures("one-entry", true);
    return 0;
}
