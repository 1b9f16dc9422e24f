// Evaluates every queue's selector once.
#include "jobs/candidateindex.h"

namespace cyclamenlatch::jobs {

namespace {

template<typename Map, typename Key>
auto findOrNull(const Map &map, const Key &key) -> const typename Map::mapped_type *
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

CandidateIndex::CandidateIndex(const fleet::FleetDocument &fleet)
{
    for (const auto &worker : fleet.workers) {
        m_workers[worker.id] = static_cast<WorkerIndex>(m_workerIds.size());
        m_workerIds.push_back(worker.id);
        m_sizes.push_back(worker.resources);
    }
    for (const auto &queue : fleet.queues) {
        auto &entry = m_queues[queue.id];
        entry.urgent = queue.urgent;
        const auto *service = fleet.findService(queue.service);
        for (WorkerIndex index = 0; service != nullptr && index < fleet.workers.size(); ++index) {
            const auto &worker = fleet.workers[index];
            if (worker.pool == service->pool && queue.selector.matches(worker.labels)) {
                entry.workers.push_back(index);
            }
        }
    }
    for (const auto &workspace : fleet.workspaces) {
        m_workspaces[workspace.id] = {workspace.weight, workspace.limit};
    }
}

const CandidateIndex::QueueEntry *CandidateIndex::queue(const QueueId &id) const
{
    return findOrNull(m_queues, id);
}

const CandidateIndex::WorkspaceEntry *CandidateIndex::workspace(const WorkspaceId &id) const
{
    return findOrNull(m_workspaces, id);
}

const CandidateIndex::WorkerIndex *CandidateIndex::worker(const WorkerId &id) const
{
    return findOrNull(m_workers, id);
}

} // namespace cyclamenlatch::jobs
