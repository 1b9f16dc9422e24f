// Automatic moves from and to the spare pool under demand that takes turns: waits, moves and
// buffer cost against no moves and against greedy moves. A fluid model on a virtual clock.
#include "bench/figure.h"
#include "capacity/burstestimate.h"
#include "capacity/moveplanner.h"
#include "global/random.h"
#include "global/time.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <deque>

DEFINE_uint64(seed, 1, "seed of the run");

namespace cyclamenlatch::bench {

namespace {

using namespace capacity;

enum class Policy { NoMoves, Greedy, Weighed };

// Seconds.
constexpr double tick = 0.25;
constexpr double moveTime = 12;
constexpr double runLength = 3600;
constexpr double runTime = 0.1;
constexpr double burstFactor = 5;
constexpr double restFactor = 0.05;
constexpr unsigned slots = 8;
// Part of a pool's capacity that a burst asks for.
constexpr double burstLoad = 1.5;

struct Users
{
    std::string name;
    unsigned pools = 4;
    unsigned workersPerPool = 10;
    unsigned spareWorkers = 10;
    MoveWeights weights;
};

struct Outcome
{
    // Seconds that a request waits, on average.
    double wait = 0;
    unsigned moves = 0;
    // Worker-seconds that spare workers were away or moving.
    double bufferCost = 0;
    // Largest wait of a pool over the mean of all pools; 1 when all wait alike.
    double unevenness = 0;
    double longestPassMs = 0;
};

struct Lent
{
    WorkerId worker;
    double arrives = 0;
};

struct Pool
{
    PoolDemand demand;
    BurstEstimate bursts;
    std::deque<Lent> lent;
    double waited = 0;
    double served = 0;
};

class PoolRun
{
public:
    PoolRun(const Users &users, double burst, Policy policy, std::uint64_t seed)
        : m_users(users)
        , m_burst(burst)
        , m_policy(policy)
        , m_random(seed)
    {
        m_settings.weights = users.weights;
        m_settings.moveTime = moveTime;
        m_spare.pool = PoolId("spare");
        for (unsigned index = 0; index < users.spareWorkers; ++index) {
            m_spare.workers.emplace_back("s-" + std::to_string(index));
        }
        m_pools.resize(users.pools);
        for (unsigned index = 0; index < users.pools; ++index) {
            auto &demand = m_pools[index].demand;
            demand.pool = PoolId("p-" + std::to_string(index));
            demand.runTime = runTime;
            demand.slotsPerWorker = slots;
            for (unsigned worker = 0; worker < users.workersPerPool; ++worker) {
                demand.workers.emplace_back(demand.pool.value() + "-" + std::to_string(worker));
            }
        }
    }

    Outcome run()
    {
        while (m_now < runLength) {
            m_now += tick;
            takeTurns();
            for (std::size_t index = 0; index < m_pools.size(); ++index) {
                serve(m_pools[index], index == m_turn);
            }
            decide();
        }
        return outcome();
    }

private:
    double perWorker() const { return slots / runTime; }

    void takeTurns()
    {
        if (m_now >= m_turnEnds) {
            m_turn = uniformBelow(m_random, static_cast<std::uint32_t>(m_pools.size()));
            m_turnEnds = m_now + m_burst * (0.5 + uniformReal(m_random));
        }
    }

    void serve(Pool &pool, bool bursting)
    {
        auto &demand = pool.demand;
        const auto own = m_users.workersPerPool * perWorker();
        const auto mean = own * burstLoad / burstFactor;
        demand.arrivalRate = mean * (bursting ? burstFactor : restFactor);
        constexpr double longSpan = 120;
        demand.longArrivalRate += (demand.arrivalRate - demand.longArrivalRate) * tick / longSpan;
        const auto there = std::count_if(pool.lent.begin(), pool.lent.end(),
                                         [this](const Lent &x) { return x.arrives <= m_now; });
        const auto capacity = own + static_cast<double>(there) * perWorker();
        const auto ready = demand.queued + demand.arrivalRate * tick;
        const auto done = std::min(ready, capacity * tick);
        pool.waited += (demand.queued + (ready - done)) / 2 * tick;
        pool.served += done;
        demand.queued = ready - done;
        demand.sinceLent = pool.lent.empty() ? 0 : m_now - pool.lent.back().arrives;
        m_bufferCost += static_cast<double>(pool.lent.size()) * tick;
        // Judged by the pool's own workers: help that arrives must not make the next overload
        // look short.
        pool.bursts.observe(demand.arrivalRate > own, m_now);
        demand.overloadRemaining = pool.bursts.remaining(m_now);
        demand.lent.clear();
        for (const auto &lent : pool.lent) {
            demand.lent.push_back(lent.worker);
        }
    }

    void decide()
    {
        if (m_policy == Policy::NoMoves) {
            return;
        }
        std::vector<PoolDemand> demands;
        for (const auto &pool : m_pools) {
            demands.push_back(pool.demand);
        }
        const auto before = steadyNow();
        const auto decisions = m_policy == Policy::Weighed ? planMoves(m_spare, demands, m_settings)
                                                           : planGreedily(demands);
        m_longestPass = std::max(m_longestPass, steadyNow() - before);
        for (const auto &decision : decisions) {
            carryOut(decision);
        }
    }

    // One worker to each pool that has a queue, and back as soon as it has none.
    std::vector<MoveDecision> planGreedily(const std::vector<PoolDemand> &demands) const
    {
        std::vector<MoveDecision> decisions;
        std::size_t next = 0;
        for (const auto &demand : demands) {
            if (demand.queued > 0 && next < m_spare.workers.size()) {
                decisions.push_back({m_spare.workers[next++], m_spare.pool, demand.pool, 1, 0});
            } else if (demand.queued <= 0 && !demand.lent.empty()) {
                decisions.push_back({demand.lent.front(), demand.pool, m_spare.pool, 0, 0});
            }
        }
        return decisions;
    }

    void carryOut(const MoveDecision &decision)
    {
        ++m_moves;
        for (auto &pool : m_pools) {
            auto &workers = pool.demand.workers;
            if (pool.demand.pool == decision.to) {
                std::erase(m_spare.workers, decision.worker);
                workers.push_back(decision.worker);
                pool.lent.push_back({decision.worker, m_now + moveTime});
            } else if (pool.demand.pool == decision.from) {
                std::erase(workers, decision.worker);
                std::erase_if(pool.lent,
                              [&](const Lent &x) { return x.worker == decision.worker; });
                m_spare.workers.push_back(decision.worker);
                m_bufferCost += moveTime;
            }
        }
    }

    Outcome outcome() const
    {
        Outcome outcome;
        double waited = 0;
        double served = 0;
        double worst = 0;
        for (const auto &pool : m_pools) {
            waited += pool.waited;
            served += pool.served;
            worst = std::max(worst, pool.waited / std::max(pool.served, 1.0));
        }
        outcome.wait = waited / served;
        outcome.moves = m_moves;
        outcome.bufferCost = m_bufferCost;
        outcome.unevenness = outcome.wait > 0 ? worst / outcome.wait : 1;
        outcome.longestPassMs = toSeconds(m_longestPass) * 1000;
        return outcome;
    }

    const Users m_users;
    const double m_burst;
    const Policy m_policy;
    Random m_random;
    MoveSettings m_settings;
    PoolDemand m_spare;
    std::vector<Pool> m_pools;
    double m_now = 0;
    double m_turnEnds = 0;
    std::size_t m_turn = 0;
    unsigned m_moves = 0;
    double m_bufferCost = 0;
    Duration m_longestPass{};
};

void measure(const Users &users, double burst)
{
    const auto none = PoolRun(users, burst, Policy::NoMoves, FLAGS_seed).run();
    const auto greedy = PoolRun(users, burst, Policy::Greedy, FLAGS_seed).run();
    const auto weighed = PoolRun(users, burst, Policy::Weighed, FLAGS_seed).run();
    const auto name = [&](const std::string &figure) {
        return users.name + ".burst-" + std::to_string(static_cast<int>(burst)) + "s." + figure;
    };
    const auto seed = FLAGS_seed;
    print({"pools", name("wait-against-no-moves"), weighed.wait, "s", none.wait, "", seed});
    print({"pools", name("wait-against-greedy"), weighed.wait, "s", greedy.wait, "", seed});
    print({"pools", name("moves-against-greedy"), static_cast<double>(weighed.moves), "moves",
           static_cast<double>(greedy.moves), "", seed});
    print({"pools", name("buffer-cost-against-greedy"), weighed.bufferCost, "worker-s",
           greedy.bufferCost, "", seed});
    print({"pools", name("unevenness-against-no-moves"), weighed.unevenness, "ratio",
           none.unevenness, "", seed});
    print({"pools", name("longest-pass"), weighed.longestPassMs, "ms", 0, "< 50", seed});
}

} // namespace

} // namespace cyclamenlatch::bench

int main(int argc, char **argv)
{
    using cyclamenlatch::bench::measure;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const double burst : {8.0, 60.0, 300.0}) {
        measure({"fremantle", 4, 10, 10, {2, 1}}, burst);
        measure({"bep-chung", 4, 10, 10, {1, 2}}, burst);
    }
    measure({"letter-1", 149, 9, 130, {1, 1}}, 60);
    return 0;
}
