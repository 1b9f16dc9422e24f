// Amounts that a task takes of a target. Whole numbers, so that taking and giving back never drift.
#pragma once

#include <algorithm>
#include <cstdint>

namespace cyclamenlatch::scheduling {

struct Room
{
    // Thousandths of a core.
    std::int64_t processors = 0;
    std::int64_t memoryMib = 0;
    // Whole devices.
    std::int64_t accelerators = 0;

    bool operator==(const Room &) const = default;

    Room &operator+=(const Room &other)
    {
        processors += other.processors;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }
    Room &operator-=(const Room &other)
    {
        processors -= other.processors;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Room operator+(Room left, const Room &right) { return left += right; }
    friend Room operator-(Room left, const Room &right) { return left -= right; }

    bool fitsIn(const Room &free) const
    {
        return processors <= free.processors && memoryMib <= free.memoryMib
               && accelerators <= free.accelerators;
    }
    friend Room operator*(const Room &room, std::int64_t count)
    {
        return {room.processors * count, room.memoryMib * count, room.accelerators * count};
    }
    // Like fitsIn, where a bound of 0 stands for none.
    bool isWithinCap(const Room &cap) const
    {
        return (cap.processors == 0 || processors <= cap.processors)
               && (cap.memoryMib == 0 || memoryMib <= cap.memoryMib)
               && (cap.accelerators == 0 || accelerators <= cap.accelerators);
    }
};

} // namespace cyclamenlatch::scheduling
