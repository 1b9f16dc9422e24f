// Arithmetic on resource vectors, and the best-fit score of a placement.
#pragma once

#include "fleet/resources.h"

namespace cyclamenlatch::jobs {

// Room on a worker; differences may be negative, unlike a worker's size.
struct Room
{
    double processors = 0;
    double memoryMib = 0;
    double accelerators = 0;
};

constexpr Room toRoom(const fleet::Resources &resources)
{
    return {resources.processors, resources.memoryMib, static_cast<double>(resources.accelerators)};
}

constexpr Room operator+(const Room &left, const Room &right)
{
    return {left.processors + right.processors, left.memoryMib + right.memoryMib,
            left.accelerators + right.accelerators};
}

constexpr Room operator-(const Room &left, const Room &right)
{
    return {left.processors - right.processors, left.memoryMib - right.memoryMib,
            left.accelerators - right.accelerators};
}

constexpr bool fits(const Room &need, const Room &room)
{
    // Absorbs the rounding of repeated additions; in cores and mebibytes.
    constexpr double tolerance = 1e-6;
    return need.processors <= room.processors + tolerance
           && need.memoryMib <= room.memoryMib + tolerance
           && need.accelerators <= room.accelerators + tolerance;
}

// Lower is better: what would stay free, as shares of the worker. Free accelerators weigh most,
// so that work without need for them leaves them to others.
constexpr double leftover(const Room &need, const Room &room, const Room &size)
{
    constexpr double acceleratorWeight = 4;
    const auto rest = room - need;
    double score = 0;
    if (size.processors > 0) {
        score += rest.processors / size.processors;
    }
    if (size.memoryMib > 0) {
        score += rest.memoryMib / size.memoryMib;
    }
    if (size.accelerators > 0) {
        score += acceleratorWeight * rest.accelerators / size.accelerators;
    }
    return score;
}

} // namespace cyclamenlatch::jobs
