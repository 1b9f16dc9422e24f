// How fast a target has been lately beside the other targets of its pool. What is known fades, so
// that a target that gets no work because it was slow is tried again.
#pragma once

#include "global/time.h"

#include <chrono>

namespace cyclamenlatch::scheduling {

class TargetSpeed
{
public:
    // A run has ended well after this time; expected: the usual time of such runs.
    void addRun(Duration ranFor, Duration expected, TimePoint now);
    // How many times as long runs are expected to take there as on the pool's other targets; 1 for
    // a target that is as fast as they are, or of which too little is known. pool: the runs on all
    // targets of the pool, so that expected times that are wrong by a factor blame no target.
    double slowdown(const TargetSpeed &pool, TimePoint now) const;

private:
    double fading(TimePoint now) const;

    // Runs counted, older ones with less weight, and the sum of the natural logarithms of their
    // ratios to the expected time.
    double m_runs = 0;
    double m_logSum = 0;
    TimePoint m_updated{};
};

} // namespace cyclamenlatch::scheduling
