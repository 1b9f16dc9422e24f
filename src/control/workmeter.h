// How long the owner's event loop spent on what, by kind of work, for one log line each second.
// Times are of the steady clock, so they contain what the processor was given to others meanwhile.
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
    // Lists of targets: decoding and taking them.
    KeepAlives,
    // Orders to targets: writing them and taking their answers.
    Orders,
    // Changes of jobs and of targets in the store.
    Jobs,
    Targets,
    // Writing progress.
    Flush,
    // Lists of hosts, waves and moves.
    Hosts,
};

class WorkMeter
{
public:
    static constexpr std::size_t kinds = 7;

    // Measures from here to its end.
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

    // "plan=count/milliseconds ..." since the last call.
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
