// The critical path of a job, by its caller's estimates.
#pragma once

#include "scheduling/jobspec.h"

#include <algorithm>
#include <vector>

namespace cyclamenlatch::scheduling::detail {

// Milliseconds from the start of each step to the end of the job along the longest path.
inline std::vector<double> criticalPathsFromSteps(const JobSpec &spec)
{
    std::vector<double> criticalPaths(spec.steps.size(), 0);
    for (std::size_t index = spec.steps.size(); index-- > 0;) {
        criticalPaths[index] += static_cast<double>(spec.steps[index].estimate.count());
        for (const auto before : spec.steps[index].after) {
            criticalPaths[before] = std::max(criticalPaths[before], criticalPaths[index]);
        }
    }
    return criticalPaths;
}

inline double criticalPathMilliseconds(const JobSpec &spec)
{
    double longest = 0;
    for (const double path : criticalPathsFromSteps(spec)) {
        longest = std::max(longest, path);
    }
    return longest;
}

} // namespace cyclamenlatch::scheduling::detail
