// The pool that a worker belongs to and the one it should belong to; stored at workers/<worker>.
// The record has one pool, so a worker is in exactly one at any time; leaving one pool and
// joining the next is a single compare-and-swap.
#pragma once

#include "capacity/assignmentstep.h"
#include "global/ids.h"
#include "global/result.h"
#include "store/storeitem.h"

#include <cstdint>
#include <string>

namespace cyclamenlatch::capacity {

struct WorkerAssignment
{
    WorkerId worker;
    PoolId pool;
    PoolId desired;
    // The fleet document's pool when desired was last set. A document that names another one
    // is newer and wins.
    PoolId home;
    AssignmentStep step = AssignmentStep::Serving;
    // Who set desired: an operator's name, "fleet" or automaticMover.
    std::string setBy;
    // Milliseconds since the epoch when the worker joined its pool.
    std::int64_t joined = 0;
    // Grows with each move that begins; names the move's claims in ledgers.
    std::uint64_t attempt = 0;

    bool operator==(const WorkerAssignment &) const = default;
};

struct VersionedAssignment
{
    WorkerAssignment assignment;
    // 0 when there is no record yet.
    store::StoreRevision revision = 0;
};

// Stands in setBy for moves that the planner decided.
inline constexpr const char *automaticMover = "automatic";

inline constexpr const char *assignmentPrefix = "workers/";

std::string assignmentKey(const WorkerId &worker);
std::string writeAssignment(const WorkerAssignment &assignment);
// Fails with kind Internal on text that is not an assignment.
Result<WorkerAssignment> readAssignment(const std::string &text);

} // namespace cyclamenlatch::capacity
