// Three entries over the same minions. Queues take turns as in "burst", and each caller comes
// through an entry at random, or all of them through one. Figures: what ran above the minions'
// slots, and what was answered in its deadline.
#include "bench/entriessimulation.h"
#include "bench/figure.h"
#include "bench/turntaking.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the arrivals and run times");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;

constexpr unsigned entries = 3;

struct Figures
{
    SharedUse use;
    double inDeadline = 0;
    double bytesPerSecond = 0;
};

Figures measure(Exchange exchange, bool oneEntry, std::uint64_t seed)
{
    EntriesSimulation simulation(TurnTaking::fleet(), entries, exchange, seed);
    Random random(seed);
    TurnTaking::arrive(random, [&](Duration at, const QueueId &queue) {
        const unsigned entry = oneEntry ? 0 : uniformBelow(random, entries);
        simulation.submitAt(at, entry,
                            {queue, WorkspaceId("drivers"),
                             exponential(TurnTaking::meanWork, random), TurnTaking::timeout});
    });
    simulation.runUntil(TurnTaking::end);
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
