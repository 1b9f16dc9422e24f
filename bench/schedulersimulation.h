// Drives the scheduler, or a plain baseline, over modelled minions in virtual time. A run depends
// on its seed only.
#pragma once

#include "dispatch/scheduler.h"
#include "global/random.h"
#include "routing/routingtable.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace cyclamenlatch::bench {

enum class MinionFault { None, FailsFast, Silent, Slow, Refuses };

enum class Policy {
    Scheduler,
    // First in first out to a random minion with a free slot; deadlines are not looked at.
    FifoRandom,
    // Each request at once to the next minion in turn, without retries.
    RoundRobin,
    // As RoundRobin, with three retries at once after every failure.
    RoundRobinRetrying,
};

struct SimulatedRequest
{
    QueueId queue;
    WorkspaceId workspace;
    // Time that it occupies a slot on a healthy minion.
    Duration work{0};
    Duration timeout{0};
};

struct SimulatedEnd
{
    bool succeeded = false;
    bool inDeadline = false;
    // From arrival to the first start; meaningful when it started.
    Duration wait{0};
    bool started = false;
};

class SchedulerSimulation
{
public:
    SchedulerSimulation(const fleet::FleetDocument &fleet, Policy policy, std::uint64_t seed);

    void setFault(const WorkerId &worker, MinionFault fault) { m_faults[worker] = fault; }
    // Must be called in order of time.
    void submitAt(Duration time, SimulatedRequest request);
    // Runs until every request has ended and the given time has passed.
    void runUntil(Duration time);

    const std::vector<SimulatedEnd> &ends() const { return m_ends; }
    // Share of the requests that were answered in their deadline.
    double shareInDeadline() const;
    const SimulatedRequest &request(std::size_t index) const { return m_requests[index]; }
    std::size_t requestCount() const { return m_requests.size(); }
    std::uint64_t calls() const { return m_calls; }
    // Slot time used by a workspace between two times, in seconds.
    double usedSeconds(const WorkspaceId &workspace) const;
    void countUseFrom(Duration time) { m_countUseFrom = m_start + time; }

    Random &random() { return m_random; }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(TimePoint at, std::function<void()> run);
    void arrive(dispatch::Ticket ticket);
    void carryOut();
    void startCall(const dispatch::StartCall &call);
    void endCall(dispatch::Ticket ticket, unsigned attempt, dispatch::CallVerdict verdict);
    void finish(dispatch::Ticket ticket, bool succeeded);
    void arriveAtBaseline(dispatch::Ticket ticket);
    void pumpFifo();
    void startAtBaseline(dispatch::Ticket ticket, std::size_t worker, unsigned attempt);
    void noteStart(dispatch::Ticket ticket);
    void noteUse(dispatch::Ticket ticket, TimePoint from, TimePoint to);

    fleet::FleetDocument m_fleet;
    Policy m_policy;
    Random m_random;
    TimePoint m_start{std::chrono::seconds(1000)};
    TimePoint m_now = m_start;
    TimePoint m_countUseFrom = m_start;
    dispatch::Scheduler m_scheduler;
    dispatch::SchedulerActions m_actions;
    std::map<WorkerId, MinionFault> m_faults;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 0;
    std::vector<SimulatedRequest> m_requests;
    std::vector<SimulatedEnd> m_ends;
    std::vector<TimePoint> m_arrivals;
    std::vector<bool> m_ended;
    // Attempt in flight of each request; 0 for none.
    std::map<dispatch::Ticket, unsigned> m_inFlight;
    std::map<WorkspaceId, double> m_used;
    std::uint64_t m_calls = 0;
    // Baselines: busy slots by worker, and the waiting line.
    std::vector<unsigned> m_busy;
    std::deque<dispatch::Ticket> m_fifo;
    std::size_t m_turn = 0;
};

} // namespace cyclamenlatch::bench
