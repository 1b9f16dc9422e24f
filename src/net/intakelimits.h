// What callers may make a LoopHttpServer hold, and the counts of what was refused by each limit.
#pragma once

#include "global/nametable.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cyclamenlatch::net {

struct IntakeLimits
{
    // Open connections. When another one comes, one without an unanswered request is closed: one
    // that waits for its next request first, then the one whose unfinished request began first.
    std::size_t maxConnections = 1024;
    // Address and header fields of a request. A longer head is answered with 431.
    std::size_t maxHeadBytes = std::size_t{64} * 1024;
    // A body that is announced or grows to be longer is answered with 413.
    std::size_t maxBodyBytes = std::size_t{1} << 20;
    // Heads and bodies of all requests that are not answered yet. When they hold more, the
    // unfinished request that began first is answered with 503: an ordinary one is sent within
    // milliseconds. If none is unfinished, the request that came last is.
    std::size_t maxHeldBytes = std::size_t{16} * 1024 * 1024;
    // Time that a caller has to send a whole request, to take an answer, or to send the next
    // request; then the connection is closed. Checked once a second.
    std::chrono::milliseconds exchangeTimeout{15000};
    // An unfinished request of which nothing comes for this long is answered with 408.
    std::chrono::milliseconds stallTimeout{10000};

    // Limits for callers of a process that may use this much memory and so many descriptors: an
    // eighth of the memory for what is held, a quarter of the descriptors for connections.
    static IntakeLimits forProcess(std::size_t memoryBytes, std::size_t descriptors);
};

enum class IntakeRefusal { Connections, Head, Body, HeldBytes, Stalled, TimedOut, Malformed };

inline constexpr NamedValue<IntakeRefusal> intakeRefusalEntries[] = {
        {IntakeRefusal::Connections, "connections"},
        {IntakeRefusal::Head, "head"},
        {IntakeRefusal::Body, "body"},
        {IntakeRefusal::HeldBytes, "held-bytes"},
        {IntakeRefusal::Stalled, "stalled"},
        {IntakeRefusal::TimedOut, "timed-out"},
        {IntakeRefusal::Malformed, "malformed"},
};
inline constexpr NameTable intakeRefusalNames{intakeRefusalEntries};

struct IntakeStatistics
{
    std::size_t connections = 0;
    std::size_t heldBytes = 0;
    // Requests refused and connections closed since the start, by IntakeRefusal.
    std::array<std::uint64_t, std::size(intakeRefusalEntries)> refused{};
};

} // namespace cyclamenlatch::net
