// Makes each pool's demand from reports and records, and asks the move planner.
#include "capacity/automaticmoves.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cyclamenlatch::capacity {

namespace {

constexpr double secondsPerMillisecond = 1e-3;
// Demand is gathered for this long before a worker is sent back: what isn't heard of yet would
// look like no demand.
constexpr std::int64_t settleTime = 15000;

MoveSettings settingsOf(const fleet::LendingPolicy &lending)
{
    MoveSettings settings;
    settings.weights = {lending.movesWeight, lending.bufferWeight};
    settings.moveTime = lending.moveSeconds;
    settings.hysteresis = lending.hysteresis;
    return settings;
}

bool isSettled(const WorkerAssignment &assignment)
{
    return assignment.step == AssignmentStep::Serving && assignment.pool == assignment.desired;
}

// Lent by a planner, and not by an operator, whose word stands.
bool isLent(const WorkerAssignment &assignment)
{
    return assignment.setBy == automaticMover && assignment.desired != assignment.home;
}

std::unordered_set<WorkerId> unsuitedFor(const fleet::FleetDocument &fleet, const PoolId &pool,
                                         const std::vector<const fleet::Worker *> &candidates)
{
    std::vector<const fleet::Queue *> queues;
    for (const auto &queue : fleet.queues) {
        const auto *service = fleet.findService(queue.service);
        if (service != nullptr && service->pool == pool) {
            queues.push_back(&queue);
        }
    }
    std::unordered_set<WorkerId> unsuited;
    for (const auto *worker : candidates) {
        const bool suits = std::any_of(queues.begin(), queues.end(), [&](const auto *queue) {
            return queue->selector.matches(worker->labels);
        });
        if (!suits) {
            unsuited.insert(worker->id);
        }
    }
    return unsuited;
}

} // namespace

// One pool as the records show it.
struct AutomaticMoves::Shape
{
    PoolDemand demand;
    // Of the workers that are in the pool, moving workers counted where they go.
    unsigned slots = 0;
    unsigned ownSlots = 0;
    // Workers that may be moved away, with the time when they joined.
    std::vector<std::pair<std::int64_t, const fleet::Worker *>> movable;
    std::vector<std::pair<std::int64_t, WorkerAssignment>> lent;
    // When the newest lent worker joined; never, when one is still on its way.
    std::int64_t newestLent = 0;
};

std::unordered_map<PoolId, AutomaticMoves::Shape> AutomaticMoves::shapesOf(
        const LendingView &view) const
{
    std::unordered_map<PoolId, Shape> shapes;
    for (const auto &worker : view.fleet->workers) {
        const auto found = view.assignments->find(worker.id);
        if (found == view.assignments->end() || view.out.contains(worker.id)) {
            continue;
        }
        const auto &assignment = found->second.assignment;
        auto &shape = shapes[assignment.desired];
        shape.demand.workers.push_back(worker.id);
        shape.slots += worker.slots;
        if (!isLent(assignment)) {
            shape.ownSlots += worker.slots;
            if (isSettled(assignment) && assignment.home == assignment.pool) {
                shape.movable.emplace_back(assignment.joined, &worker);
            }
        } else if (isSettled(assignment)) {
            shape.lent.emplace_back(assignment.joined, assignment);
            shape.newestLent = std::max(shape.newestLent, assignment.joined);
        } else {
            shape.newestLent = std::numeric_limits<std::int64_t>::max();
        }
    }
    for (auto &[pool, shape] : shapes) {
        const auto byTime = [](const auto &a, const auto &b) { return a.first < b.first; };
        std::stable_sort(shape.movable.begin(), shape.movable.end(), byTime);
        std::stable_sort(shape.lent.begin(), shape.lent.end(), byTime);
        shape.demand.pool = pool;
        shape.demand.slotsPerWorker =
                std::max<unsigned>(1, shape.slots
                                              / static_cast<unsigned>(std::max<std::size_t>(
                                                      1, shape.demand.workers.size())));
    }
    return shapes;
}

// Fills in the demand. Overloads are judged by the pool's own workers: help that arrives must not
// make the next overload look short.
void AutomaticMoves::observe(const LendingView &view, std::unordered_map<PoolId, Shape> &shapes)
{
    const auto seconds = static_cast<double>(view.now) * secondsPerMillisecond;
    for (const auto &pool : view.fleet->pools) {
        auto &shape = shapes[pool.id];
        auto &demand = shape.demand;
        demand.pool = pool.id;
        demand.weight = pool.weight;
        const auto load = view.loads.find(pool.id);
        if (load != view.loads.end()) {
            demand.runTime = load->second.runTime > 0 ? load->second.runTime : demand.runTime;
            demand.arrivalRate = load->second.arrivalRate;
            demand.longArrivalRate = load->second.longArrivalRate;
            demand.queued = load->second.queued;
        }
        const bool overloaded = demand.arrivalRate * demand.runTime > shape.ownSlots
                                || demand.queued > shape.ownSlots;
        auto &bursts = m_bursts[pool.id];
        bursts.observe(overloaded, seconds);
        demand.overloadRemaining = bursts.remaining(seconds);
        const auto since = view.now > shape.newestLent ? view.now - shape.newestLent : 0;
        demand.sinceLent = static_cast<double>(since) * secondsPerMillisecond;
    }
}

std::vector<DecidedMove> AutomaticMoves::decide(const LendingView &view)
{
    if (!m_since) {
        m_since = view.now;
    }
    const bool mayReturn = view.now - *m_since >= settleTime;
    auto shapes = shapesOf(view);
    observe(view, shapes);
    std::vector<DecidedMove> moves;
    for (const auto &spare : view.fleet->pools) {
        if (!spare.spare || !spare.lending.automatic) {
            continue;
        }
        auto spareDemand = shapes[spare.id].demand;
        std::vector<const fleet::Worker *> candidates;
        spareDemand.workers.clear();
        for (const auto &[joined, worker] : shapes[spare.id].movable) {
            candidates.push_back(worker);
            spareDemand.workers.push_back(worker->id);
        }
        std::vector<PoolDemand> others;
        for (const auto &pool : view.fleet->pools) {
            if (pool.spare) {
                continue;
            }
            auto demand = shapes[pool.id].demand;
            demand.unsuited = unsuitedFor(*view.fleet, pool.id, candidates);
            for (const auto &[joined, lent] : shapes[pool.id].lent) {
                if (lent.home == spare.id && mayReturn) {
                    demand.lent.push_back(lent.worker);
                }
            }
            others.push_back(std::move(demand));
        }
        for (auto &decision : planMoves(spareDemand, others, settingsOf(spare.lending))) {
            const auto &found = view.assignments->at(decision.worker);
            auto changed = found.assignment;
            changed.desired = decision.to;
            changed.setBy = automaticMover;
            // The next spare pool sees what this one gives.
            shapes[decision.to].demand.workers.push_back(decision.worker);
            moves.push_back({std::move(decision),
                             {assignmentKey(changed.worker), writeAssignment(changed),
                              found.revision, ""}});
        }
    }
    return moves;
}

} // namespace cyclamenlatch::capacity
