// Resources that a task takes of a target. Integers, so that sums and differences stay exact.
#pragma once

#include <algorithm>
#include <cstdint>

namespace cyclamenlatch::scheduling {

struct Resources
{
    // Thousandths of a core.
    std::int64_t processors = 0;
    std::int64_t memoryMib = 0;
    // Whole devices.
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        processors += other.processors;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        processors -= other.processors;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources &right) { return left += right; }
    friend Resources operator-(Resources left, const Resources &right) { return left -= right; }

    bool fitsIn(const Resources &free) const
    {
        return processors <= free.processors && memoryMib <= free.memoryMib
               && accelerators <= free.accelerators;
    }
    friend Resources operator*(const Resources &resources, std::int64_t count)
    {
        return {resources.processors * count, resources.memoryMib * count,
                resources.accelerators * count};
    }
    // Like fitsIn, but a cap of 0 means unlimited.
    bool isWithinCap(const Resources &cap) const
    {
        return (cap.processors == 0 || processors <= cap.processors)
               && (cap.memoryMib == 0 || memoryMib <= cap.memoryMib)
               && (cap.accelerators == 0 || accelerators <= cap.accelerators);
    }
    // Whether what is in use leaves some of the cap of each resource that is taken here, and does
    // not exceed that of the others.
    bool mayStartBeside(const Resources &used, const Resources &cap) const
    {
        const auto some = [](std::int64_t taken) { return std::min<std::int64_t>(taken, 1); };
        return (used + Resources{some(processors), some(memoryMib), some(accelerators)})
                .isWithinCap(cap);
    }
};

} // namespace cyclamenlatch::scheduling
