// How long one target takes to answer, as observed, and how long its next answer is waited for
// before the call is taken for lost. A call that a target carries out late is never answered in
// time, however long it is waited for; one that waits in a full link is, if it is waited for
// longer.
#pragma once

#include "global/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cyclamenlatch::scheduling {

class ResponseTimeEstimator
{
public:
    void addSample(Duration took)
    {
        const double sample = toSeconds(took);
        if (!m_isObserved) {
            m_mean = sample;
            m_deviation = sample / 2;
        } else {
            m_deviation += deviationWeight * (std::abs(sample - m_mean) - m_deviation);
            m_mean += meanWeight * (sample - m_mean);
        }
        m_isObserved = true;
        m_losses = 0;
    }
    // A call was given up. The next one is waited for twice as long, in case it was too early.
    void addTimeout() { m_losses = std::min(m_losses + 1, maxBackoffExponent); }

    std::chrono::milliseconds timeout() const
    {
        if (!m_isObserved) {
            return initialTimeout;
        }
        const auto usual = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(m_mean + deviationFactor * m_deviation));
        return std::min(std::max(usual, minTimeout) * (1 << m_losses), maxTimeout);
    }

private:
    // Weights, and the number of spreads, of RFC 6298, which answers the same question for TCP.
    static constexpr double meanWeight = 0.125;
    static constexpr double deviationWeight = 0.25;
    static constexpr double deviationFactor = 4;
    // Targets answer within some milliseconds; this bears a pause of either side.
    static constexpr std::chrono::milliseconds minTimeout{120};
    static constexpr std::chrono::milliseconds maxTimeout{1500};
    static constexpr std::chrono::milliseconds initialTimeout{700};
    static constexpr int maxBackoffExponent = 4;

    bool m_isObserved = false;
    // Seconds.
    double m_mean = 0;
    double m_deviation = 0;
    int m_losses = 0;
};

} // namespace cyclamenlatch::scheduling
