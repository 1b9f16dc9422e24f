// The faults of a soak, drawn from its seed: restarts of targets under their ids with calls held
// back across them, cuts, lost answers, resets, and owners that are killed or frozen.
#pragma once

#include "review/standin/world.h"

#include <cstdint>
#include <set>

namespace soak {

class Faults
{
public:
    struct Counts
    {
        std::uint64_t restarts = 0;
        std::uint64_t cuts = 0;
        std::uint64_t killedOwners = 0;
        std::uint64_t freezes = 0;
        std::uint64_t resets = 0;
        std::uint64_t lostAnswers = 0;
    };
    explicit Faults(review::World &world)
        : m_world(world)
    {}
    // Begins faults until the time is over; returns when the last of them has ended.
    asio::awaitable<void> run(review::Milliseconds time);
    const Counts &counts() const { return m_counts; }
    // Whether the entry is neither frozen nor down.
    bool isServing(int entry) const { return !m_busyEntries.contains(entry); }

private:
    using Task = asio::awaitable<void>;
    void spawn(Task task);
    void beginOne();
    Task restartSeries(int target);
    Task restart(int target);
    Task cutTarget(int target);
    Task killEntry(int entry, int signal);
    Task freezeEntry(int entry);
    void disturbAnswers(int target);
    // Number of the owner, or of any entry from time to time.
    int drawOwner();
    review::Minion &target(int number) { return *m_world.minions.at(number); }
    bool isDrawn(int percent) { return m_world.draw(1, 100) <= percent; }
    Task pause(std::int64_t from, std::int64_t to);

    review::World &m_world;
    Counts m_counts;
    std::set<int> m_busyTargets;
    std::set<int> m_busyEntries;
    int m_active = 0;
    std::int64_t m_lastEntryFault = 0;
};

} // namespace soak
