// Drives the schedulers of several entries over the same modelled minions in virtual time. A minion
// starts all that it is given; above its slots everything that starts takes longer in proportion.
// A run depends on its seed only.
#pragma once

#include "bench/schedulersimulation.h"
#include "dispatch/fleetload.h"
#include "dispatch/loadreporter.h"
#include "dispatch/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace cyclamenlatch::bench {

enum class Exchange {
    // Entries tell each other their load.
    Digests,
    // As Digests, but what other entries used is not charged.
    SlotsOnly,
    // Each entry uses all slots of each minion by its own count alone.
    None,
};

struct SharedUse
{
    // Most that ran on one minion at once.
    unsigned mostRunning = 0;
    // Seconds run above a minion's slots, and in all.
    double overSeconds = 0;
    double runningSeconds = 0;

    double overShare() const { return runningSeconds > 0 ? overSeconds / runningSeconds : 0; }
};

class EntriesSimulation
{
public:
    EntriesSimulation(const fleet::FleetDocument &fleet, unsigned entries, Exchange exchange,
                      std::uint64_t seed);

    // Must be called in order of time.
    void submitAt(Duration time, unsigned entry, SimulatedRequest request);
    // From then on the entry hears nothing and is not heard.
    void cutOffAt(Duration time, unsigned entry);
    void runUntil(Duration time);
    // Figures leave out what happens before.
    void countFrom(Duration time) { m_countFrom = m_start + time; }

    const std::vector<SimulatedEnd> &ends() const { return m_ends; }
    const SimulatedRequest &request(std::size_t index) const { return m_requests[index]; }
    std::size_t requestCount() const { return m_requests.size(); }
    double shareInDeadline() const;
    const SharedUse &use() const { return m_use; }
    // Slot time used by a workspace, in seconds.
    double usedSeconds(const WorkspaceId &workspace) const;
    // Requests of one entry that were started.
    unsigned started(unsigned entry) const { return m_entries[entry]->started; }
    // Bodies of digests that one entry sent in a second, on average.
    double bytesPerSecond(unsigned entry) const;

private:
    struct Entry
    {
        Entry(const EntryId &id, std::uint64_t seed)
            : scheduler({}, {}, seed)
            , load(id)
            , id(id)
        {}

        dispatch::Scheduler scheduler;
        dispatch::SchedulerActions actions;
        dispatch::FleetLoad load;
        dispatch::LoadReporter sender;
        EntryId id;
        bool cutOff = false;
        unsigned started = 0;
        std::uint64_t bytes = 0;
    };
    struct Minion
    {
        unsigned slots = 0;
        unsigned running = 0;
        TimePoint countedAt{};
    };
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
    void arrive(unsigned entry, dispatch::Ticket ticket);
    void tick(unsigned entry);
    void tell(unsigned from, const dispatch::LoadReport &digest);
    void carryOut(unsigned entry);
    void startCall(unsigned entry, const dispatch::StartCall &call);
    void changeRunning(Minion &minion, int change);
    // Runs the wake that is due first, if it is due before the given time.
    bool wakeBefore(TimePoint time);

    Exchange m_exchange;
    TimePoint m_start{std::chrono::seconds(1000)};
    TimePoint m_now = m_start;
    TimePoint m_countFrom = m_start;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::map<WorkerId, Minion> m_minions;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 0;
    std::vector<SimulatedRequest> m_requests;
    std::vector<SimulatedEnd> m_ends;
    std::vector<TimePoint> m_arrivals;
    std::map<WorkspaceId, double> m_used;
    SharedUse m_use;
};

} // namespace cyclamenlatch::bench
