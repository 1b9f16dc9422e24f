// The token bucket of store calls.
#include "store/callbudget.h"

#include <algorithm>

namespace cyclamenlatch::store {

CallBudget::CallBudget(CallBudgetSettings settings)
    : m_settings(settings)
    , m_tokens(settings.burst)
{}

double CallBudget::rate() const
{
    return m_settings.callsPerSecond / m_sharers;
}

void CallBudget::refill(TimePoint now)
{
    if (m_refilled != TimePoint{} && now > m_refilled) {
        m_tokens = std::min(m_settings.burst, m_tokens + toSeconds(now - m_refilled) * rate());
    }
    m_refilled = std::max(m_refilled, now);
}

void CallBudget::setSharers(unsigned count, TimePoint now)
{
    refill(now);
    m_sharers = std::max(1U, count);
}

Duration CallBudget::take(TimePoint now)
{
    refill(now);
    m_tokens -= 1;
    if (m_tokens >= 0) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-m_tokens / rate()));
}

} // namespace cyclamenlatch::store
