// Measures the use of a limit while demand moves between entries: traded units against an equal
// split, in virtual time over the real agents, and the share that a killed entry locks.
#include "bench/figure.h"
#include "src/quota/tests/quotaworld.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>

DEFINE_uint64(seed, 1, "seed of the run");

namespace cyclamenlatch::quota {
namespace {

constexpr unsigned limit = 480;
constexpr unsigned dataCentres = 3;
constexpr unsigned moves = 40;
constexpr Duration followTime = std::chrono::seconds(2);

void print(const std::string &figure, double value, const char *unit, double baseline,
           const char *target)
{
    bench::print({"limits", figure, value, unit, baseline, target, FLAGS_seed});
}

struct Use
{
    double usable = 0;
    double equalSplit = 0;
    unsigned mostOver = 0;
    double writesPerSecond = 0;
    // A counter in the store is written when work starts and when it ends.
    double counterWritesPerSecond = 0;
};

// Demand for the whole limit moves to a random group of entries of one data centre.
Use measureUse(unsigned entries)
{
    QuotaWorld world(entries, dataCentres, FLAGS_seed);
    Random random(FLAGS_seed);
    world.setLimit(limit);
    world.run(std::chrono::seconds(3));
    const auto writesBefore = world.writes();
    const auto startsBefore = world.starts();
    Use use;
    for (unsigned move = 0; move < moves; ++move) {
        const auto dataCentre = uniformBelow(random, dataCentres);
        unsigned busy = 0;
        for (unsigned index = 0; index < entries; ++index) {
            const bool wanted = index % dataCentres == dataCentre;
            busy += wanted ? 1 : 0;
            world.demand(index, wanted ? limit : 0);
        }
        for (Duration passed{}; passed < followTime; passed += worldStep) {
            world.step();
            const auto running = world.totalRunning();
            use.mostOver = std::max(use.mostOver, running > limit ? running - limit : 0);
        }
        use.usable += static_cast<double>(world.totalRunning()) / limit / moves;
        use.equalSplit += static_cast<double>(busy) / entries / moves;
        world.run(std::chrono::seconds(1));
    }
    const auto seconds = moves * (toSeconds(followTime) + 1);
    use.writesPerSecond = static_cast<double>(world.writes() - writesBefore) / seconds;
    use.counterWritesPerSecond = 2 * static_cast<double>(world.starts() - startsBefore) / seconds;
    return use;
}

// Share of the limit that one killed entry takes with it under an even load.
double lockedAfterKill(unsigned entries)
{
    QuotaWorld world(entries, dataCentres, FLAGS_seed);
    world.setLimit(limit);
    for (unsigned index = 0; index < entries; ++index) {
        world.demand(index, 2 * limit / entries);
    }
    world.run(std::chrono::seconds(10));
    world.kill(0);
    world.run(worldLongestWork + std::chrono::seconds(4));
    return 1.0 - static_cast<double>(world.totalRunning()) / limit;
}

void run()
{
    for (const unsigned entries : {6U, 24U, 96U}) {
        const auto use = measureUse(entries);
        const auto suffix = fmt::format("-{}-entries", entries);
        print("usable-after-2s" + suffix, use.usable, "share", use.equalSplit, ">= 0.95");
        print("most-over-limit" + suffix, use.mostOver, "units", 0, "0");
        print("store-writes" + suffix, use.writesPerSecond, "1/s", use.counterWritesPerSecond,
              "< 100");
        print("locked-after-kill" + suffix, lockedAfterKill(entries), "share", 1.0 / entries,
              "none");
    }
}

} // namespace
} // namespace cyclamenlatch::quota

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    cyclamenlatch::quota::run();
}
