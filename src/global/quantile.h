// A quantile of values that are all at hand.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cyclamenlatch {

// Returns the value at index floor(fraction * (n - 1)) of the sorted values, 0 when there are none.
// fraction is in [0, 1].
inline double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

} // namespace cyclamenlatch
