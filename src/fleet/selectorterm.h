// One condition of a selector.
#pragma once

#include "fleet/labels.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::fleet {

struct LabelEquals
{
    std::string label;
    std::string value;
    bool operator==(const LabelEquals &) const = default;
};

struct LabelDiffers
{
    std::string label;
    std::string value;
    bool operator==(const LabelDiffers &) const = default;
};

struct LabelIn
{
    std::string label;
    std::vector<std::string> values;
    bool operator==(const LabelIn &) const = default;
};

struct LabelNotIn
{
    std::string label;
    std::vector<std::string> values;
    bool operator==(const LabelNotIn &) const = default;
};

struct LabelExists
{
    std::string label;
    bool operator==(const LabelExists &) const = default;
};

struct LabelAbsent
{
    std::string label;
    bool operator==(const LabelAbsent &) const = default;
};

using SelectorTerm =
        std::variant<LabelEquals, LabelDiffers, LabelIn, LabelNotIn, LabelExists, LabelAbsent>;

bool matches(const SelectorTerm &term, const Labels &labels);

} // namespace cyclamenlatch::fleet
