// Estimates a target's response time from its answers and derives the timeout of the next call to
// it. A longer timeout helps a call that is queued on a congested link; it does not help a call
// that the target carries out late, which is not answered in time in any case.
#pragma once

#include "global/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cyclamenlatch::scheduling {

class ResponseTimeEstimator
{
public:
    void addSample(Duration responseTime)
    {
        const double sample = toSeconds(responseTime);
        if (!m_hasSample) {
            m_mean = sample;
            m_deviation = sample / 2;
        } else {
            m_deviation += deviationWeight * (std::abs(sample - m_mean) - m_deviation);
            m_mean += meanWeight * (sample - m_mean);
        }
        m_hasSample = true;
        m_timeouts = 0;
    }
    // Doubles the next timeout, since the call that timed out may have been given up too early.
    void addTimeout() { m_timeouts = std::min(m_timeouts + 1, maxBackoffExponent); }

    std::chrono::milliseconds timeout() const
    {
        if (!m_hasSample) {
            return initialTimeout;
        }
        const auto expected = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(m_mean + deviationFactor * m_deviation));
        return std::min(std::max(expected, minTimeout) * (1 << m_timeouts), maxTimeout);
    }

private:
    // Weights and deviation factor of RFC 6298, which computes TCP's retransmission timeout.
    static constexpr double meanWeight = 0.125;
    static constexpr double deviationWeight = 0.25;
    static constexpr double deviationFactor = 4;
    // Targets answer within some milliseconds; the minimum tolerates a pause of either side.
    static constexpr std::chrono::milliseconds minTimeout{120};
    static constexpr std::chrono::milliseconds maxTimeout{1500};
    static constexpr std::chrono::milliseconds initialTimeout{700};
    static constexpr int maxBackoffExponent = 4;

    bool m_hasSample = false;
    // In seconds.
    double m_mean = 0;
    double m_deviation = 0;
    int m_timeouts = 0;
};

} // namespace cyclamenlatch::scheduling
