// Runs of quickly replaced fleet documents, of which only the last is right: state derived from
// the newest document against lists of steps that are carried out in order. Counts the moves made
// and the time until every worker is where the last document wants it.
#include "bench/figure.h"
#include "capacity/assignmentplanner.h"
#include "global/random.h"

#include <gflags/gflags.h>

#include <deque>
#include <map>

DEFINE_uint64(seed, 1, "seed of the run");

namespace cyclamenlatch::bench {

namespace {

using namespace capacity;

// Milliseconds.
constexpr std::int64_t tick = 250;
constexpr std::int64_t leastDrain = 2000;
constexpr std::uint32_t drainSpread = 4000;
constexpr std::int64_t longestRun = 3600000;
constexpr unsigned workers = 50;
constexpr unsigned pools = 5;
constexpr unsigned runs = 20;

struct Outcome
{
    double moves = 0;
    double seconds = 0;
};

// The documents of one run, in order.
struct Revisions
{
    std::vector<fleet::FleetDocument> documents;
    std::int64_t interval = 0;
    std::vector<std::int64_t> drains;
};

Revisions makeRevisions(unsigned mistaken, std::int64_t interval, std::uint64_t seed)
{
    Random random(seed);
    Revisions revisions;
    revisions.interval = interval;
    fleet::FleetDocument start;
    for (unsigned index = 0; index < workers; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId("w-" + std::to_string(index));
        worker.pool = PoolId("p-" + std::to_string(index % pools));
        start.workers.push_back(worker);
        revisions.drains.push_back(leastDrain + uniformBelow(random, drainSpread));
    }
    for (unsigned index = 0; index < pools; ++index) {
        start.pools.push_back({PoolId("p-" + std::to_string(index))});
    }
    start.buildIndex();
    auto last = start;
    last.workers[0].pool = PoolId("p-1");
    last.workers[7].pool = PoolId("p-4");
    revisions.documents.push_back(start);
    for (unsigned index = 0; index < mistaken; ++index) {
        auto wrong = last;
        for (unsigned change = 0; change < workers / 4; ++change) {
            wrong.workers[uniformBelow(random, workers)].pool =
                    PoolId("p-" + std::to_string(uniformBelow(random, pools)));
        }
        revisions.documents.push_back(wrong);
    }
    revisions.documents.push_back(last);
    return revisions;
}

std::size_t newestAt(const Revisions &revisions, std::int64_t now)
{
    const auto index = static_cast<std::size_t>(now / revisions.interval);
    return std::min(index, revisions.documents.size() - 1);
}

Outcome runNewest(const Revisions &revisions)
{
    Outcome outcome;
    AssignmentView view;
    view.newRecords = workers;
    std::map<WorkerId, std::int64_t> drainEnds;
    store::StoreRevision revision = 0;
    const auto lastAt =
            static_cast<std::int64_t>(revisions.documents.size() - 1) * revisions.interval;
    for (std::int64_t now = 0; now < longestRun; now += tick) {
        view.fleet = &revisions.documents[newestAt(revisions, now)];
        view.quiet.clear();
        for (const auto &[worker, found] : view.assignments) {
            if (found.assignment.step == AssignmentStep::Draining && drainEnds[worker] <= now) {
                view.quiet[worker] = found.revision;
            }
        }
        const auto writes = planAssignments(view, now);
        for (const auto &write : writes) {
            const auto changed = readAssignment(write.value).value();
            auto &kept = view.assignments[changed.worker];
            outcome.moves += kept.revision > 0 && kept.assignment.pool != changed.pool ? 1 : 0;
            if (changed.step == AssignmentStep::Draining
                && kept.assignment.step != AssignmentStep::Draining) {
                const auto index = std::stoul(changed.worker.value().substr(2));
                drainEnds[changed.worker] = now + revisions.drains[index];
            }
            kept = {changed, ++revision};
        }
        bool settled = now >= lastAt;
        for (const auto &worker : view.fleet->workers) {
            settled = settled && assignmentOf(view, worker).assignment.pool == worker.pool;
        }
        if (settled) {
            outcome.seconds = static_cast<double>(now - lastAt) / 1000;
            return outcome;
        }
    }
    outcome.seconds = static_cast<double>(longestRun) / 1000;
    return outcome;
}

// Each document adds the moves that lead to it from the end of the list; each worker's moves are
// carried out in order, one drain for each pool at a time, as above.
Outcome runSteps(const Revisions &revisions)
{
    Outcome outcome;
    std::map<WorkerId, std::deque<PoolId>> lists;
    std::map<WorkerId, PoolId> at;
    std::map<WorkerId, PoolId> planned;
    std::map<WorkerId, std::int64_t> drainEnds;
    std::map<PoolId, unsigned> draining;
    for (const auto &worker : revisions.documents.front().workers) {
        at[worker.id] = planned[worker.id] = worker.pool;
    }
    const auto lastAt =
            static_cast<std::int64_t>(revisions.documents.size() - 1) * revisions.interval;
    std::size_t seen = 0;
    for (std::int64_t now = 0; now < longestRun; now += tick) {
        for (; seen <= newestAt(revisions, now); ++seen) {
            for (const auto &worker : revisions.documents[seen].workers) {
                if (planned[worker.id] != worker.pool) {
                    planned[worker.id] = worker.pool;
                    lists[worker.id].push_back(worker.pool);
                }
            }
        }
        bool settled = now >= lastAt;
        for (unsigned index = 0; index < workers; ++index) {
            const WorkerId worker("w-" + std::to_string(index));
            auto &list = lists[worker];
            auto &end = drainEnds[worker];
            if (end > 0 && end <= now) {
                --draining[at[worker]];
                at[worker] = list.front();
                list.pop_front();
                end = 0;
                outcome.moves += 1;
            }
            if (end == 0 && !list.empty() && draining[at[worker]] == 0) {
                ++draining[at[worker]];
                end = now + revisions.drains[index];
            }
            settled = settled && list.empty();
        }
        if (settled) {
            outcome.seconds = static_cast<double>(now - lastAt) / 1000;
            return outcome;
        }
    }
    outcome.seconds = static_cast<double>(longestRun) / 1000;
    return outcome;
}

void measure(unsigned mistaken, std::int64_t interval)
{
    Outcome newest;
    Outcome steps;
    for (unsigned run = 0; run < runs; ++run) {
        const auto revisions = makeRevisions(mistaken, interval, FLAGS_seed + run);
        const auto byNewest = runNewest(revisions);
        const auto bySteps = runSteps(revisions);
        newest.moves += byNewest.moves / runs;
        newest.seconds += byNewest.seconds / runs;
        steps.moves += bySteps.moves / runs;
        steps.seconds += bySteps.seconds / runs;
    }
    const auto name = [&](const char *figure) {
        return std::to_string(mistaken) + "-mistaken-each-" + std::to_string(interval) + "ms."
               + figure;
    };
    print({"revisions", name("moves"), newest.moves, "moves", steps.moves, "", FLAGS_seed});
    print({"revisions", name("time-to-right"), newest.seconds, "s", steps.seconds, "", FLAGS_seed});
}

} // namespace

} // namespace cyclamenlatch::bench

int main(int argc, char **argv)
{
    using cyclamenlatch::bench::measure;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure(0, 1000);
    measure(5, 250);
    measure(5, 1000);
    measure(5, 20000);
    return 0;
}
