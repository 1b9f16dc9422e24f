// Decides which workers are lent to other pools and come back, from what the entries report and
// from the records. Pure; learns only how long overloads last.
#pragma once

#include "capacity/burstestimate.h"
#include "capacity/demandbook.h"
#include "capacity/movedecision.h"
#include "capacity/moveplanner.h"
#include "capacity/workerassignment.h"
#include "fleet/fleetdocument.h"
#include "global/time.h"
#include "store/storewrite.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cyclamenlatch::capacity {

struct LendingView
{
    // As it was configured.
    const fleet::FleetDocument *fleet = nullptr;
    const std::unordered_map<WorkerId, VersionedAssignment> *assignments = nullptr;
    // Workers that maintenance has, or that failed: they don't serve and are not moved.
    std::unordered_set<WorkerId> out;
    std::unordered_map<PoolId, PoolLoad> loads;
    // Milliseconds since the epoch.
    std::int64_t now = 0;
};

// A decision with the write that carries it out.
struct DecidedMove
{
    MoveDecision decision;
    store::StoreWrite write;
};

class AutomaticMoves
{
public:
    std::vector<DecidedMove> decide(const LendingView &view);
    // Forgets when it began to look, since what it knows may be out of date.
    void restart() { m_since.reset(); }

private:
    struct Shape;

    std::unordered_map<PoolId, Shape> shapesOf(const LendingView &view) const;
    void observe(const LendingView &view, std::unordered_map<PoolId, Shape> &shapes);

    std::unordered_map<PoolId, BurstEstimate> m_bursts;
    // When the decisions began, in milliseconds since the epoch.
    std::optional<std::int64_t> m_since;
};

} // namespace cyclamenlatch::capacity
