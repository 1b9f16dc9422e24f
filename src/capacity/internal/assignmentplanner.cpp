// One planning pass over the workers' assignments.
#include "capacity/assignmentplanner.h"

#include <iterator>
#include <utility>

namespace cyclamenlatch::capacity {

namespace {

store::StoreWrite writeOf(const VersionedAssignment &found, const WorkerAssignment &changed)
{
    return {assignmentKey(changed.worker), writeAssignment(changed), found.revision, ""};
}

// Workers that drain, or are about to.
std::unordered_map<PoolId, unsigned> countDraining(const AssignmentView &view)
{
    std::unordered_map<PoolId, unsigned> draining;
    for (const auto &[worker, found] : view.assignments) {
        if (found.assignment.step != AssignmentStep::Serving) {
            ++draining[found.assignment.pool];
        }
    }
    return draining;
}

bool isQuiet(const AssignmentView &view, const VersionedAssignment &found)
{
    const auto quiet = view.quiet.find(found.assignment.worker);
    return quiet != view.quiet.end() && quiet->second == found.revision;
}

// Sets the pool that the document wants, when the document is newer than the last wish or the
// wished pool is gone.
void followDocument(WorkerAssignment &changed, const fleet::Worker &worker,
                    const fleet::FleetDocument &fleet)
{
    if (changed.home == worker.pool && fleet.findPool(changed.desired) != nullptr) {
        return;
    }
    changed.home = worker.pool;
    changed.desired = worker.pool;
    changed.setBy = "fleet";
}

// One planning pass.
class AssignmentPass
{
public:
    AssignmentPass(const AssignmentView &view, std::int64_t now)
        : m_view(view)
        , m_now(now)
        , m_claims(view.ledgers)
        , m_draining(countDraining(view))
        , m_newRecords(view.newRecords)
    {}

    std::vector<store::StoreWrite> run()
    {
        m_claims.removeOver(m_view.assignments);
        for (const auto &worker : m_view.fleet->workers) {
            advance(worker);
        }
        auto ledgerWrites = m_claims.writes();
        std::move(ledgerWrites.begin(), ledgerWrites.end(), std::back_inserter(m_writes));
        return std::move(m_writes);
    }

private:
    void advance(const fleet::Worker &worker)
    {
        const auto found = assignmentOf(m_view, worker);
        auto changed = found.assignment;
        followDocument(changed, worker, *m_view.fleet);
        if (changed.desired == changed.pool) {
            changed.step = AssignmentStep::Serving;
        } else {
            step(found, changed);
        }
        // A worker is recorded in its first pool, so that a later document means a move.
        const bool isNew = found.revision == 0 && m_newRecords > 0;
        m_newRecords -= isNew ? 1 : 0;
        if (isNew || changed != found.assignment) {
            m_writes.push_back(writeOf(found, changed));
        }
    }

    void step(const VersionedAssignment &found, WorkerAssignment &changed)
    {
        switch (changed.step) {
        case AssignmentStep::Serving:
            return begin(changed);
        case AssignmentStep::Claiming:
            return claim(changed);
        case AssignmentStep::Draining:
            return drain(found, changed);
        }
    }

    void begin(WorkerAssignment &changed)
    {
        auto &draining = m_draining[changed.pool];
        if (draining >= m_view.drainsPerPool
            || !m_claims.hasRoom(changed.worker, changed.attempt + 1)) {
            return;
        }
        ++draining;
        ++changed.attempt;
        changed.step = AssignmentStep::Claiming;
    }

    void claim(WorkerAssignment &changed)
    {
        if (!m_claims.hasRoom(changed.worker, changed.attempt)) {
            changed.step = AssignmentStep::Serving;
        } else if (m_claims.isHeld(changed.worker, changed.attempt)) {
            changed.step = AssignmentStep::Draining;
        } else {
            m_claims.add(changed.worker, changed.attempt);
        }
    }

    // A worker that is needed after a failure is taken back.
    void drain(const VersionedAssignment &found, WorkerAssignment &changed)
    {
        if (m_claims.isOverfull(changed.worker)) {
            changed.step = AssignmentStep::Serving;
        } else if (isQuiet(m_view, found)) {
            changed.pool = changed.desired;
            changed.step = AssignmentStep::Serving;
            changed.joined = m_now;
        }
    }

    const AssignmentView &m_view;
    const std::int64_t m_now;
    MoveClaims m_claims;
    std::unordered_map<PoolId, unsigned> m_draining;
    unsigned m_newRecords;
    std::vector<store::StoreWrite> m_writes;
};

} // namespace

VersionedAssignment assignmentOf(const AssignmentView &view, const fleet::Worker &worker)
{
    const auto found = view.assignments.find(worker.id);
    if (found != view.assignments.end()) {
        return found->second;
    }
    VersionedAssignment implied;
    implied.assignment.worker = worker.id;
    implied.assignment.pool = worker.pool;
    implied.assignment.desired = worker.pool;
    implied.assignment.home = worker.pool;
    implied.assignment.setBy = "fleet";
    return implied;
}

std::vector<store::StoreWrite> planAssignments(const AssignmentView &view, std::int64_t now)
{
    return AssignmentPass(view, now).run();
}

fleet::FleetDocument withAssignments(
        const fleet::FleetDocument &fleet,
        const std::unordered_map<WorkerId, VersionedAssignment> &assignments)
{
    auto document = fleet;
    for (auto &worker : document.workers) {
        const auto found = assignments.find(worker.id);
        if (found != assignments.end()) {
            worker.pool = found->second.assignment.pool;
        }
    }
    return document;
}

} // namespace cyclamenlatch::capacity
