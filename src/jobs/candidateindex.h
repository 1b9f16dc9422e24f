// Which workers may run the jobs of each queue, and how large they are: worked out once per
// fleet document, so that a planning pass evaluates no selector.
#pragma once

#include "fleet/fleetdocument.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::jobs {

class CandidateIndex
{
public:
    using WorkerIndex = std::uint32_t;

    struct QueueEntry
    {
        bool urgent = false;
        std::vector<WorkerIndex> workers;
    };
    struct WorkspaceEntry
    {
        double weight = 1;
        unsigned limit = 0;
    };

    CandidateIndex() = default;
    explicit CandidateIndex(const fleet::FleetDocument &fleet);

    // Null when the fleet has none of that name.
    const QueueEntry *queue(const QueueId &id) const;
    const WorkspaceEntry *workspace(const WorkspaceId &id) const;
    const WorkerIndex *worker(const WorkerId &id) const;

    const std::vector<WorkerId> &workerIds() const { return m_workerIds; }
    const std::vector<fleet::Resources> &sizes() const { return m_sizes; }

private:
    std::vector<WorkerId> m_workerIds;
    // By worker index, as m_workerIds.
    std::vector<fleet::Resources> m_sizes;
    std::unordered_map<WorkerId, WorkerIndex> m_workers;
    std::unordered_map<QueueId, QueueEntry> m_queues;
    std::unordered_map<WorkspaceId, WorkspaceEntry> m_workspaces;
};

} // namespace cyclamenlatch::jobs
