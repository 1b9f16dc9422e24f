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

class AnswerTime
{
public:
    void observed(Duration took)
    {
        const double sample = toSeconds(took);
        if (!m_isObserved) {
            m_mean = sample;
            m_spread = sample / 2;
        } else {
            m_spread += spreadWeight * (std::abs(sample - m_mean) - m_spread);
            m_mean += meanWeight * (sample - m_mean);
        }
        m_isObserved = true;
        m_losses = 0;
    }
    // A call was given up. The next one is waited for twice as long, in case it was too early.
    void lost() { m_losses = std::min(m_losses + 1, mostDoublings); }

    std::chrono::milliseconds patience() const
    {
        if (!m_isObserved) {
            return unobserved;
        }
        const auto usual = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(m_mean + spreads * m_spread));
        return std::min(std::max(usual, least) * (1 << m_losses), most);
    }

private:
    // Weights, and the number of spreads, of RFC 6298, which answers the same question for TCP.
    static constexpr double meanWeight = 0.125;
    static constexpr double spreadWeight = 0.25;
    static constexpr double spreads = 4;
    // Targets answer within some milliseconds; this bears a pause of either side.
    static constexpr std::chrono::milliseconds least{120};
    static constexpr std::chrono::milliseconds most{1500};
    static constexpr std::chrono::milliseconds unobserved{700};
    static constexpr int mostDoublings = 4;

    bool m_isObserved = false;
    // Seconds.
    double m_mean = 0;
    double m_spread = 0;
    int m_losses = 0;
};

} // namespace cyclamenlatch::scheduling
