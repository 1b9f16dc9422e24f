// One full pool, workspaces of unlike weight and unlike run times. Figures: the largest distance of
// a workspace's used slot time from its share, with one entry and with three of which one workspace
// uses only one; and the p99 wait of small workspaces under a flood.
#include "bench/entriessimulation.h"
#include "bench/figure.h"
#include "bench/schedulersimulation.h"
#include "bench/simulatedfleet.h"
#include "global/quantile.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the arrivals and run times");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;

struct Tenant
{
    std::string name;
    double weight = 1;
    Duration meanWork{0};
    // Slots that its requests would occupy on average if all ran.
    double offeredSlots = 0;
};

constexpr unsigned workers = 10;
constexpr unsigned slots = 8;
constexpr Duration timeout = std::chrono::seconds(4);
constexpr Duration length = std::chrono::seconds(120);
constexpr Duration warmUp = std::chrono::seconds(20);

std::unique_ptr<SchedulerSimulation> simulate(Policy policy, const std::vector<Tenant> &tenants,
                                              std::uint64_t seed)
{
    auto fleet = makeFleet(1, workers, slots, false, 2);
    for (const auto &tenant : tenants) {
        fleet.workspaces.push_back({WorkspaceId(tenant.name), tenant.weight, 1000});
    }
    auto simulation = std::make_unique<SchedulerSimulation>(fleet, policy, seed);
    simulation->countUseFrom(warmUp);
    Random random(seed);
    for (const auto &tenant : tenants) {
        const auto gap =
                std::chrono::duration_cast<Duration>(tenant.meanWork / tenant.offeredSlots);
        for (Duration at = exponential(gap, random); at < length; at += exponential(gap, random)) {
            simulation->submitAt(at, {QueueId("q-0"), WorkspaceId(tenant.name),
                                      exponential(tenant.meanWork, random), timeout});
        }
    }
    simulation->runUntil(length);
    return simulation;
}

// Every workspace asks for more than its share of the 80 slots.
std::vector<Tenant> greedyTenants()
{
    using std::chrono::milliseconds;
    return {
            {"large-1", 8, milliseconds(50), 100}, {"large-2", 6, milliseconds(400), 100},
            {"medium", 3, milliseconds(100), 60},  {"small-1", 1, milliseconds(200), 30},
            {"small-2", 1, milliseconds(20), 30},  {"small-3", 1, milliseconds(100), 30},
    };
}

template<typename UsedSeconds>
double largestDistanceOf(const std::vector<Tenant> &tenants, UsedSeconds usedSeconds)
{
    double used = 0;
    double weights = 0;
    for (const auto &tenant : tenants) {
        used += usedSeconds(WorkspaceId(tenant.name));
        weights += tenant.weight;
    }
    double largest = 0;
    for (const auto &tenant : tenants) {
        const double share = usedSeconds(WorkspaceId(tenant.name)) / used;
        largest = std::max(largest, std::abs(share - tenant.weight / weights));
    }
    return largest;
}

double largestDistance(Policy policy, std::uint64_t seed)
{
    const auto tenants = greedyTenants();
    const auto simulation = simulate(policy, tenants, seed);
    return largestDistanceOf(tenants, [&simulation](const WorkspaceId &workspace) {
        return simulation->usedSeconds(workspace);
    });
}

// One workspace comes through the first entry only, the others through all.
double distanceOverEntries(Exchange exchange, const std::string &throughOne, std::uint64_t seed)
{
    constexpr unsigned entries = 3;
    const auto tenants = greedyTenants();
    auto fleet = makeFleet(1, workers, slots, false, 2);
    for (const auto &tenant : tenants) {
        fleet.workspaces.push_back({WorkspaceId(tenant.name), tenant.weight, 1000});
    }
    EntriesSimulation simulation(fleet, entries, exchange, seed);
    simulation.countFrom(warmUp);
    Random random(seed);
    for (const auto &tenant : tenants) {
        const auto gap =
                std::chrono::duration_cast<Duration>(tenant.meanWork / tenant.offeredSlots);
        for (Duration at = exponential(gap, random); at < length; at += exponential(gap, random)) {
            const unsigned entry = tenant.name == throughOne ? 0 : uniformBelow(random, entries);
            simulation.submitAt(at, entry,
                                {QueueId("q-0"), WorkspaceId(tenant.name),
                                 exponential(tenant.meanWork, random), timeout});
        }
    }
    simulation.runUntil(length);
    return largestDistanceOf(tenants, [&simulation](const WorkspaceId &workspace) {
        return simulation.usedSeconds(workspace);
    });
}

void printOverEntries(const std::string &throughOne, std::uint64_t seed)
{
    const double shared = distanceOverEntries(Exchange::Digests, throughOne, seed);
    const double slotsOnly = distanceOverEntries(Exchange::SlotsOnly, throughOne, seed);
    const double alone = distanceOverEntries(Exchange::None, throughOne, seed);
    print({"share", "three-entries-" + throughOne + "-through-one", shared, "share of slot time",
           alone, "<= 0.03", seed});
    print({"share", "three-entries-" + throughOne + "-through-one-slots-only", slotsOnly,
           "share of slot time", alone, "", seed});
}

double smallWait(Policy policy, std::uint64_t seed)
{
    using std::chrono::milliseconds;
    // The large workspace floods the pool; the small ones stay below their shares.
    const std::vector<Tenant> tenants{{"large", 8, milliseconds(200), 400},
                                      {"small-1", 1, milliseconds(100), 2},
                                      {"small-2", 1, milliseconds(100), 2}};
    const auto simulation = simulate(policy, tenants, seed);
    std::vector<double> waits;
    for (std::size_t index = 0; index < simulation->requestCount(); ++index) {
        const auto &end = simulation->ends()[index];
        if (simulation->request(index).workspace != WorkspaceId("large")) {
            // One that never started waited for its whole time.
            waits.push_back(toSeconds(end.started ? end.wait : timeout) * 1000);
        }
    }
    return quantile(std::move(waits), 0.99);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    print({"share", "max-distance", largestDistance(Policy::Scheduler, FLAGS_seed),
           "share of slot time", largestDistance(Policy::FifoRandom, FLAGS_seed), "<= 0.03",
           FLAGS_seed});
    for (const auto *throughOne : {"large-1", "large-2", "medium", "small-1"}) {
        printOverEntries(throughOne, FLAGS_seed);
    }
    print({"share", "small-wait-p99", smallWait(Policy::Scheduler, FLAGS_seed), "ms",
           smallWait(Policy::FifoRandom, FLAGS_seed), "", FLAGS_seed});
    return 0;
}
