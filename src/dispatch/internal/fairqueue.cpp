// Keeps workspaces ordered by their start tags.
#include "dispatch/fairqueue.h"

#include <algorithm>

namespace cyclamenlatch::dispatch {

namespace {

// Above this number of flows, a workspace's flow is removed when it becomes idle.
constexpr std::size_t maxIdleFlows = 4096;

} // namespace

void FairQueue::push(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue,
                     double weight)
{
    insert(ticket, workspace, queue, weight, false);
}

void FairQueue::pushFront(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue,
                          double weight)
{
    insert(ticket, workspace, queue, weight, true);
}

void FairQueue::insert(Ticket ticket, const WorkspaceId &workspace, const QueueId &queue,
                       double weight, bool front)
{
    auto &flow = m_flows[workspace];
    if (flow.size == 0) {
        flow.weight = weight;
        flow.tag = std::max(flow.tag, m_virtualTime);
        m_backloggedWeight += flow.weight;
        if (!flow.isBlocked) {
            m_order.insert({flow.tag, workspace});
        }
    }
    auto &waiting = flow.waiting[queue];
    const auto place = waiting.insert(front ? waiting.begin() : waiting.end(), ticket);
    ++flow.size;
    ++m_queued[queue];
    m_positions.emplace(ticket, Position{workspace, queue, place});
}

bool FairQueue::remove(Ticket ticket)
{
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end()) {
        return false;
    }
    const auto position = found->second;
    m_positions.erase(found);
    auto &flow = m_flows[position.workspace];
    auto &waiting = flow.waiting[position.queue];
    waiting.erase(position.place);
    if (waiting.empty()) {
        flow.waiting.erase(position.queue);
    }
    if (--m_queued[position.queue] == 0) {
        m_queued.erase(position.queue);
    }
    if (--flow.size == 0) {
        deactivate(position.workspace, flow);
    }
    return true;
}

void FairQueue::deactivate(const WorkspaceId &workspace, Flow &flow)
{
    m_order.erase({flow.tag, workspace});
    m_backloggedWeight = std::max(0.0, m_backloggedWeight - flow.weight);
    if (m_order.empty() && m_positions.empty()) {
        m_backloggedWeight = 0;
    }
    if (m_flows.size() > maxIdleFlows && flow.tag <= m_virtualTime && !flow.isBlocked) {
        m_flows.erase(workspace);
    }
}

void FairQueue::startAll(const TryStart &tryStart)
{
    std::set<QueueId> blocked;
    while (blocked.size() < m_queued.size() && startOne(tryStart, blocked)) {
    }
}

bool FairQueue::startOne(const TryStart &tryStart, std::set<QueueId> &blocked)
{
    auto next = m_order.begin();
    while (next != m_order.end() && blocked.size() < m_queued.size()) {
        const auto workspace = next->second;
        auto &flow = m_flows[workspace];
        for (auto &[queue, waiting] : flow.waiting) {
            if (blocked.contains(queue)) {
                continue;
            }
            const auto ticket = waiting.front();
            const auto tag = flow.tag;
            const auto result = tryStart(ticket);
            if (result == Start::Started) {
                m_virtualTime = std::max(m_virtualTime, tag);
                remove(ticket);
                return true;
            }
            if (result == Start::WorkspaceBlocked) {
                flow.isBlocked = true;
                break;
            }
            blocked.insert(queue);
        }
        next = flow.isBlocked ? m_order.erase(next) : std::next(next);
    }
    return false;
}

void FairQueue::charge(const WorkspaceId &workspace, double weight, double slotSeconds)
{
    auto &flow = m_flows[workspace];
    const bool ordered = flow.size > 0 && !flow.isBlocked;
    if (ordered) {
        m_order.erase({flow.tag, workspace});
    }
    if (flow.size == 0) {
        flow.tag = std::max(flow.tag, m_virtualTime);
    }
    flow.tag += slotSeconds / weight;
    if (ordered) {
        m_order.insert({flow.tag, workspace});
    }
}

// Advances the virtual time as if the work had started here, so that a workspace that was idle in
// the meantime gets no credit for it. It does not pass the lowest start tag that is queued here.
void FairQueue::chargeRemote(const WorkspaceId &workspace, double weight, double slotSeconds)
{
    const double startTag = std::max(m_flows[workspace].tag, m_virtualTime);
    charge(workspace, weight, slotSeconds);
    const double reached = m_order.empty() ? startTag : std::min(startTag, m_order.begin()->first);
    m_virtualTime = std::max(m_virtualTime, reached);
}

void FairQueue::unblock(const WorkspaceId &workspace)
{
    const auto found = m_flows.find(workspace);
    if (found == m_flows.end() || !found->second.isBlocked) {
        return;
    }
    found->second.isBlocked = false;
    // A workspace gets no credit for the time that it spent at its own limit.
    found->second.tag = std::max(found->second.tag, m_virtualTime);
    if (found->second.size > 0) {
        m_order.insert({found->second.tag, workspace});
    }
}

std::size_t FairQueue::size(const WorkspaceId &workspace) const
{
    const auto found = m_flows.find(workspace);
    return found == m_flows.end() ? 0 : found->second.size;
}

} // namespace cyclamenlatch::dispatch
