// Limits retries to a ratio of the new requests, so that a failed pool does not get a multiple of
// its traffic, and spreads them by full-jitter backoff. Reads no clock.
#pragma once

#include "global/random.h"
#include "global/time.h"

#include <algorithm>

namespace cyclamenlatch::dispatch {

struct RetrySettings
{
    // Retries allowed for each new request.
    double ratio = 0.09;
    // Maximum number of unused retries that the budget accumulates.
    double maxTokens = 20;
    Duration firstBackoff = std::chrono::milliseconds(20);
    Duration longestBackoff = std::chrono::milliseconds(1000);
    // Maximum number of attempts of one request, including the first.
    unsigned maxAttempts = 4;
};

class RetryBudget
{
public:
    explicit RetryBudget(double initialTokens = 0)
        : m_tokens(initialTokens)
    {}

    void deposit(const RetrySettings &settings)
    {
        m_tokens = std::min(settings.maxTokens, m_tokens + settings.ratio);
    }

    bool tryWithdraw()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    // Number of retries that may start now.
    double m_tokens;
};

// Returns a uniform delay below firstBackoff * 2^(attempts - 1), capped.
inline Duration fullJitterBackoff(unsigned attempts, const RetrySettings &settings, Random &random)
{
    const unsigned doublings = std::min(attempts > 0 ? attempts - 1 : 0U, 16U);
    const Duration bound =
            std::min<Duration>(settings.firstBackoff * (1LL << doublings), settings.longestBackoff);
    return Duration(
            static_cast<Duration::rep>(static_cast<double>(bound.count()) * uniformReal(random)));
}

} // namespace cyclamenlatch::dispatch
