// Measures how much time the owner's event loop spends on each kind of work, for one log line per
// second. The times are of the steady clock, so that they include time in which the processor ran
// other threads.
#pragma once

#include "global/nametable.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace cyclamenlatch::control {

enum class WorkKind {
    // Decisions of the scheduling core.
    Plan,
    // Decoding and applying the lists of runs that keep-alives return.
    KeepAlives,
    // Sending orders to targets and handling the replies.
    Orders,
    // Applying changes of jobs and of targets in the store.
    Jobs,
    Targets,
    // Writing the progress of jobs to the store.
    Flush,
    // Handling lists of hosts and planning waves and moves.
    Hosts,
};

class WorkMeter
{
public:
    static constexpr std::size_t kinds = 7;

    // Adds the time between its construction and destruction to the meter.
    class Span
    {
    public:
        Span(WorkMeter &meter, WorkKind kind)
            : m_meter(meter)
            , m_kind(kind)
            , m_began(std::chrono::steady_clock::now())
        {}
        ~Span() { m_meter.add(m_kind, std::chrono::steady_clock::now() - m_began); }
        Span(const Span &) = delete;
        Span &operator=(const Span &) = delete;

    private:
        WorkMeter &m_meter;
        const WorkKind m_kind;
        const std::chrono::steady_clock::time_point m_began;
    };

    void add(WorkKind kind, std::chrono::steady_clock::duration time)
    {
        auto &work = m_work.at(static_cast<std::size_t>(kind));
        ++work.count;
        work.time += time;
    }

    // Work since the last call, as "plan=count/milliseconds ...".
    std::string takeText();

private:
    struct Work
    {
        std::uint64_t count = 0;
        std::chrono::steady_clock::duration time{};
    };
    std::array<Work, kinds> m_work{};
};

} // namespace cyclamenlatch::control
