// Moves workers between pools. Level-triggered: pending moves follow from the newest fleet
// document and the records alone, so documents that were replaced before a move began cost
// nothing, and any entry may go on at any step.
#pragma once

#include "capacity/moveclaims.h"
#include "capacity/workerassignment.h"
#include "fleet/fleetdocument.h"
#include "store/storewrite.h"

#include <unordered_map>
#include <vector>

namespace cyclamenlatch::capacity {

struct AssignmentView
{
    const fleet::FleetDocument *fleet = nullptr;
    std::unordered_map<WorkerId, VersionedAssignment> assignments;
    // Draining workers that nobody uses any more, with the record's revision that was confirmed.
    std::unordered_map<WorkerId, store::StoreRevision> quiet;
    MoveLedgers ledgers;
    // Workers of one pool that may drain at once.
    unsigned drainsPerPool = 1;
    // Workers without a record that may get one in this pass; bounds the writes of a new fleet.
    unsigned newRecords = 20;
};

// The writes that bring each worker one step nearer to where it should be, and those of the ledgers
// that go with them.
std::vector<store::StoreWrite> planAssignments(const AssignmentView &view, std::int64_t now);

// The worker's record, or the one that the fleet document stands for.
VersionedAssignment assignmentOf(const AssignmentView &view, const fleet::Worker &worker);

// A copy of the document in which each worker is in the pool of its record.
fleet::FleetDocument withAssignments(
        const fleet::FleetDocument &fleet,
        const std::unordered_map<WorkerId, VersionedAssignment> &assignments);

} // namespace cyclamenlatch::capacity
