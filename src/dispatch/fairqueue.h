// Start-time fair queueing by workspace weight. The cost of a request is the slot time that it
// uses, in seconds: an estimate is charged when it starts and corrected when it ends. Does no I/O.
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

// Identifies one request within this process.
using Ticket = std::uint64_t;

class FairQueue
{
public:
    enum class Start {
        Started,
        // The queue's minions have no free slot; requests of other queues may still start.
        QueueBlocked,
        // The workspace has reached its limit; it is skipped until unblock() is called.
        WorkspaceBlocked,
    };
    // Tries to start the request at the head of one queue of a workspace.
    using TryStart = std::function<Start(Ticket)>;

    void push(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue, double weight);
    // Inserts a retried request before the others of its queue and workspace: it has waited before.
    void pushFront(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue,
                   double weight);
    // Returns false when the request is not queued. Apart from map look-ups, takes constant time.
    bool remove(Ticket ticket);
    // Tries the head requests in order of their start tags until no more can start.
    void startAll(const TryStart &tryStart);

    // Charges a workspace for used slot time; a negative time corrects too high an estimate.
    void charge(const WorkspaceId &workspace, double weight, double slotSeconds);
    // Charges a workspace for the slot time that it used through another entry.
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
        // Start tag: virtual time at which the workspace's next request starts.
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
    // Number of queued requests by queue; a pass ends when all these queues are blocked.
    std::map<QueueId, std::size_t> m_queued;
    double m_backloggedWeight = 0;
    // Highest start tag of a started request.
    double m_virtualTime = 0;
};

} // namespace cyclamenlatch::dispatch
