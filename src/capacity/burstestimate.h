// Learns how long a pool's overloads last, and says how much longer the present one is likely to.
#pragma once

#include "capacity/runtimeestimate.h"

#include <algorithm>
#include <optional>

namespace cyclamenlatch::capacity {

class BurstEstimate
{
public:
    // Takes whether the pool's own workers, without those lent to it, would be overloaded now;
    // time in seconds, never going back.
    void observe(bool overloaded, double now)
    {
        if (overloaded && !m_since) {
            m_since = now;
        } else if (!overloaded && m_since) {
            m_lengths.add(now - *m_since);
            m_since.reset();
        }
    }

    // Seconds that the present overload is expected to go on; 0 when there is none. An overload
    // that has outlasted the usual ones is expected to go on for as long again.
    double remaining(double now) const
    {
        if (!m_since) {
            return 0;
        }
        const auto elapsed = now - *m_since;
        const auto usual = m_lengths.highQuantile();
        return elapsed < usual ? std::max(m_lengths.median() - elapsed, 0.0) : elapsed;
    }

private:
    // Seconds assumed until some overloads were seen.
    static constexpr double firstGuess = 5;

    RunTimeEstimate m_lengths{firstGuess};
    std::optional<double> m_since;
};

} // namespace cyclamenlatch::capacity
