// A decaying mean of how much longer than usual runs on a target take.
#include "scheduling/targetspeed.h"

#include <algorithm>
#include <cmath>

namespace cyclamenlatch::scheduling {

namespace {

// What a run says counts half after this time.
constexpr std::chrono::seconds halfLife{4};
// Runs as fast as the pool's are assumed beside those that were seen, this many: a single slow run
// may be the task's own doing.
constexpr double usualRuns = 2;
// Bounds of what one run may say, as a ratio to the usual time.
constexpr double maxRatio = 10;
constexpr std::chrono::milliseconds minExpected{20};

} // namespace

double TargetSpeed::fading(TimePoint now) const
{
    return std::exp2(-toSeconds(now - m_updated) / toSeconds(halfLife));
}

void TargetSpeed::addRun(Duration ranFor, Duration expected, TimePoint now)
{
    if (expected < minExpected) {
        return;
    }
    const double ratio =
            std::clamp(toSeconds(ranFor) / toSeconds(expected), 1 / maxRatio, maxRatio);
    const double kept = fading(now);
    m_runs = kept * m_runs + 1;
    m_logSum = kept * m_logSum + std::log(ratio);
    m_updated = now;
}

double TargetSpeed::slowdown(const TargetSpeed &pool, TimePoint now) const
{
    if (m_runs == 0 || pool.m_runs == 0) {
        return 1;
    }
    const double poolMean = pool.m_logSum / pool.m_runs;
    const double kept = fading(now);
    const double beyondPool = kept * (m_logSum - m_runs * poolMean);
    return std::max(1.0, std::exp(beyondPool / (kept * m_runs + usualRuns)));
}

} // namespace cyclamenlatch::scheduling
