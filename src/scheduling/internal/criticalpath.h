// The critical path of a job.
#pragma once

#include "scheduling/jobspec.h"

#include <algorithm>
#include <vector>

namespace cyclamenlatch::scheduling::detail {

// Milliseconds from the start of each step to the end of the job along the longest path.
// stepTime(index) gives the milliseconds that a task of a step takes.
template<typename StepTime>
std::vector<double> criticalPathsFromSteps(const JobSpec &spec, const StepTime &stepTime)
{
    std::vector<double> criticalPaths(spec.steps.size(), 0);
    for (std::size_t index = spec.steps.size(); index-- > 0;) {
        criticalPaths[index] += stepTime(index);
        for (const auto before : spec.steps[index].after) {
            criticalPaths[before] = std::max(criticalPaths[before], criticalPaths[index]);
        }
    }
    return criticalPaths;
}

inline double longestPath(const std::vector<double> &criticalPaths)
{
    return criticalPaths.empty() ? 0
                                 : *std::max_element(criticalPaths.begin(), criticalPaths.end());
}

} // namespace cyclamenlatch::scheduling::detail
