// Time from an operator's withdrawal to its being refused at every entry, with the store up and
// down. Baseline of the figures with the store down: the same with the store up.
#include "bench/configcluster.h"
#include "bench/figure.h"

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_int32(withdrawals, 30, "withdrawals to measure at each number of entries");

namespace {

using namespace cyclamenlatch;

struct Times
{
    double p50 = 0;
    double p99 = 0;
    unsigned late = 0;
};

Times measure(bench::ConfigCluster &cluster, const std::string &prefix)
{
    std::vector<double> seconds;
    Times times;
    for (int index = 0; index < FLAGS_withdrawals; ++index) {
        const auto startedAt = steadyNow();
        cluster.at(0).withdraw(KeyId(fmt::format("{}-{}", prefix, index)),
                               [](const Result<void> &) {});
        times.late += cluster.awaitWithdrawn() ? 0 : 1;
        seconds.push_back(toSeconds(steadyNow() - startedAt));
    }
    std::sort(seconds.begin(), seconds.end());
    times.p50 = seconds[seconds.size() / 2];
    times.p99 = seconds[(seconds.size() - 1) * 99 / 100];
    return times;
}

void print(const char *store, unsigned entries, const Times &times, const Times &baseline)
{
    const auto name = [store, entries](const char *figure) {
        return fmt::format("{}-store-{}-at-{}-entries", figure, store, entries);
    };
    bench::print({"withdraw", name("p50"), times.p50, "s", baseline.p50, "", 0});
    bench::print({"withdraw", name("p99"), times.p99, "s", baseline.p99, "< 3", 0});
    bench::print({"withdraw", name("missed"), static_cast<double>(times.late), "withdrawals",
                  static_cast<double>(baseline.late), "0", 0});
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const unsigned entries : {3U, 12U, 48U}) {
        bench::ConfigCluster cluster(entries);
        const auto up = measure(cluster, "up");
        cluster.setOutage(true);
        const auto down = measure(cluster, "down");
        print("up", entries, up, up);
        print("down", entries, down, up);
    }
    return 0;
}
