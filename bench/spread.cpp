// Time from accepted to in force everywhere, by number of entries. Baseline: the store's write
// alone.
#include "bench/configcluster.h"
#include "bench/figure.h"
#include "global/quantile.h"

#include <gflags/gflags.h>

DEFINE_int32(changes, 20, "changes of the fleet document to measure at each number of entries");
DEFINE_int32(workers, 50, "workers in the fleet document");

namespace {

using namespace cyclamenlatch;

fleet::FleetDocument makeFleet(int workers)
{
    fleet::FleetDocument document;
    document.dataCentres = {{DataCentreId("dc-0"), "west"}};
    document.pools = {{PoolId("p"), false}};
    for (int index = 0; index < workers; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId(fmt::format("w-{}", index));
        worker.dataCentre = DataCentreId("dc-0");
        worker.rack = RackId(fmt::format("r-{}", index / 4));
        worker.pool = PoolId("p");
        worker.minionAddress = fmt::format("10.0.{}.{}:9000", index / 250, index % 250);
        document.workers.push_back(std::move(worker));
    }
    document.workspaces = {{WorkspaceId("drivers"), 1, 1, false}};
    return document;
}

void measure(unsigned entries)
{
    bench::ConfigCluster cluster(entries);
    auto document = makeFleet(FLAGS_workers);
    store::StoreRevision revision = 0;
    std::vector<double> writes;
    std::vector<double> spreads;
    unsigned late = 0;
    for (int change = 0; change < FLAGS_changes; ++change) {
        document.workspaces[0].limit = static_cast<unsigned>(change) + 1;
        const auto startedAt = steadyNow();
        revision = cluster.apply(document, revision);
        const auto acceptedAt = steadyNow();
        late += revision == 0 || !cluster.awaitInForce(revision) ? 1 : 0;
        writes.push_back(toSeconds(acceptedAt - startedAt));
        spreads.push_back(toSeconds(steadyNow() - acceptedAt));
        if (revision == 0) {
            break;
        }
    }
    const auto name = [entries](const char *figure) {
        return fmt::format("{}-at-{}-entries", figure, entries);
    };
    bench::print(
            {"spread", name("p50"), quantile(spreads, 0.5), "s", quantile(writes, 0.5), "", 0});
    bench::print({"spread", name("p99"), quantile(spreads, 0.99), "s", quantile(writes, 0.99),
                  "< 2", 0});
    bench::print({"spread", name("not-in-force-in-18-s"), static_cast<double>(late), "changes", 0,
                  "0", 0});
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const unsigned entries : {3U, 12U, 48U, 96U}) {
        measure(entries);
    }
    return 0;
}
