// Identifies one task: its job, occurrence and step, and its index in the step.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace cyclamenlatch::scheduling {

// A job's id: the value of its 16 hexadecimal digits.
using JobNumber = std::uint64_t;

struct TaskRef
{
    JobNumber job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const = default;
};

} // namespace cyclamenlatch::scheduling

template<>
struct std::hash<cyclamenlatch::scheduling::TaskRef>
{
    std::size_t operator()(const cyclamenlatch::scheduling::TaskRef &task) const noexcept
    {
        // Callers draw job ids at random, so mixing in the other parts is enough.
        const std::uint64_t position = (std::uint64_t{task.occurrence} << 40U)
                                       ^ (std::uint64_t{task.step} << 24U) ^ task.index;
        return static_cast<std::size_t>(task.job ^ (position * 0x9E3779B97F4A7C15ULL));
    }
};
