// The question and the answer of a survey of limits.
#pragma once

#include "quota/limituse.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace cyclamenlatch::quota::detail {

struct LimitSurveyMessage
{
    // The asker's number for its survey; an answer repeats it.
    std::uint64_t number = 0;
    bool isAnswer = false;
    std::vector<LimitUse> uses;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, isAnswer, uses);
    }
};

} // namespace cyclamenlatch::quota::detail
