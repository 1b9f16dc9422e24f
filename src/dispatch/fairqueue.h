// Start-time fair queueing by workspace weight. Cost is used slot time in seconds: an estimate is
// charged when a request starts and corrected when it ends. Pure.
#pragma once

#include "global/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace cyclamenlatch::dispatch {

// Names one request inside this process.
using Ticket = std::uint64_t;

class FairQueue
{
public:
    enum class Start {
        Started,
        // The queue's minions are full; other queues may go on.
        QueueBlocked,
        // The workspace is at its limit; it is skipped until unblock().
        WorkspaceBlocked,
    };
    // Tries to start the request at the head of one queue of a workspace.
    using TryStart = std::function<Start(Ticket)>;

    void push(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue, double weight);
    // Puts a request before the others of its queue and workspace: it has waited before.
    void pushFront(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue,
                   double weight);
    // Returns false when the request is not queued. Takes constant time but for look-ups.
    bool remove(Ticket ticket);
    // Offers heads in order of virtual start time until nothing more can start.
    void startAll(const TryStart &tryStart);

    // Charges a workspace for used slot time; negative corrects an estimate that was too high.
    void charge(const WorkspaceId &workspace, double weight, double slotSeconds);
    // Charges a workspace for what it used through another entry.
    void chargeRemote(const WorkspaceId &workspace, double weight, double slotSeconds);
    void unblock(const WorkspaceId &workspace);

    std::size_t size() const { return m_positions.size(); }
    std::size_t size(const WorkspaceId &workspace) const;
    // Sum of the weights of the workspaces with queued requests.
    double backloggedWeight() const { return m_backloggedWeight; }

private:
    struct Flow
    {
        double weight = 1;
        // Virtual time at which the workspace's next request starts.
        double tag = 0;
        bool isBlocked = false;
        // Invariant: equals the sum of the lists' sizes.
        std::size_t size = 0;
        std::map<QueueId, std::list<Ticket>> waiting;
    };
    struct Position
    {
        WorkspaceId workspace;
        QueueId queue;
        std::list<Ticket>::iterator place;
    };
    using OrderKey = std::pair<double, WorkspaceId>;

    void insert(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue, double weight,
                bool front);
    void deactivate(const WorkspaceId &workspace, Flow &flow);
    bool startOne(const TryStart &tryStart, std::set<QueueId> &blocked);

    std::unordered_map<WorkspaceId, Flow> m_flows;
    // Workspaces with queued requests that are not blocked, by tag.
    std::set<OrderKey> m_order;
    std::unordered_map<Ticket, Position> m_positions;
    // Queued requests of each queue, so that a pass ends when every queue is blocked.
    std::map<QueueId, std::size_t> m_queued;
    double m_backloggedWeight = 0;
    // Start tag of the request that was started last.
    double m_virtualTime = 0;
};

} // namespace cyclamenlatch::dispatch
