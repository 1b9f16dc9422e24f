// The units of each right that this entry holds, and what it runs against them. Work may start
// only after tryAcquire returned true; its unit comes back by release when the work is known to
// have ended, or by releaseAfter when its end was not seen (lost answer, deadline after sending).
// Lock order: m_mutex is the only lock and is never held while the callback runs.
#pragma once

#include "global/time.h"
#include "quota/quotaresource.h"

#include <functional>
#include <mutex>
#include <queue>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::quota {

// How a resource stands at this entry.
struct QuotaUse
{
    unsigned held = 0;
    unsigned running = 0;
    // Failed acquisitions so far.
    unsigned refused = 0;
};

class QuotaTable
{
public:
    // Runs on the thread that made units available and must not block.
    using OnAvailable = std::function<void(const QuotaResource &)>;

    // Thread-safe, constant time. A failure records demand, which draws units from other entries.
    bool tryAcquire(const QuotaResource &resource);
    // The work is known to have ended.
    void release(const QuotaResource &resource);
    // The work may still run; its unit stays in use until the given time.
    void releaseAfter(const QuotaResource &resource, TimePoint until);
    // Called when a resource whose last acquisition failed has a free unit. Set before use.
    void setOnAvailable(OnAvailable onAvailable);

    QuotaUse use(const QuotaResource &resource) const;
    // A holding below what runs is met as work ends: nothing new starts until then.
    void setHeld(const QuotaResource &resource, unsigned units);
    // Releases units whose time given to releaseAfter has come.
    void expire(TimePoint now);

private:
    struct Holding
    {
        unsigned held = 0;
        // Units in use. At most held, except while the holding is being lowered.
        unsigned running = 0;
        unsigned refused = 0;
        // The last acquisition failed and the callback has not run since.
        bool wanted = false;
    };
    struct PendingRelease
    {
        TimePoint until;
        QuotaResource resource;

        bool operator>(const PendingRelease &other) const { return until > other.until; }
    };

    // Returns whether the callback is due; clears the want.
    static bool takeWant(Holding &holding);

    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::unordered_map<QuotaResource, Holding> m_holdings;
    // Guarded by m_mutex.
    std::priority_queue<PendingRelease, std::vector<PendingRelease>, std::greater<>> m_pending;
    // Set before use.
    OnAvailable m_onAvailable;
};

} // namespace cyclamenlatch::quota
