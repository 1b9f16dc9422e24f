// One planning pass over the workers' assignments.
#include "capacity/assignmentplanner.h"

namespace cyclamenlatch::capacity {

namespace {

platform::StoreWrite writeOf(const VersionedAssignment &found, const WorkerAssignment &changed)
{
    return {assignmentKey(changed.worker), writeAssignment(changed), found.revision, ""};
}

std::unordered_map<PoolId, unsigned> countDraining(const AssignmentView &view)
{
    std::unordered_map<PoolId, unsigned> draining;
    for (const auto &[worker, found] : view.assignments) {
        if (found.assignment.step == AssignmentStep::Draining) {
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

std::vector<platform::StoreWrite> planAssignments(const AssignmentView &view, std::int64_t now)
{
    std::vector<platform::StoreWrite> writes;
    auto draining = countDraining(view);
    auto newRecords = view.newRecords;
    for (const auto &worker : view.fleet->workers) {
        const auto found = assignmentOf(view, worker);
        auto changed = found.assignment;
        if (changed.home != worker.pool) {
            changed.home = worker.pool;
            changed.desired = worker.pool;
            changed.setBy = "fleet";
        }
        if (changed.desired == changed.pool) {
            changed.step = AssignmentStep::Serving;
        } else if (changed.step == AssignmentStep::Serving) {
            if (draining[changed.pool] < view.drainsPerPool) {
                ++draining[changed.pool];
                changed.step = AssignmentStep::Draining;
            }
        } else if (isQuiet(view, found)) {
            changed.pool = changed.desired;
            changed.step = AssignmentStep::Serving;
            changed.joined = now;
        }
        // A worker is recorded in its first pool, so that a later document means a move.
        const bool isNew = found.revision == 0 && newRecords > 0;
        newRecords -= isNew ? 1 : 0;
        if (isNew || changed != found.assignment) {
            writes.push_back(writeOf(found, changed));
        }
    }
    return writes;
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
