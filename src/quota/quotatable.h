// The units of each right that this entry holds, and what it runs against them. Work may start
// only after tryAcquire returned true; its unit comes back by release when the work is known to
// have ended, or by releaseAfter when its end was not seen (lost answer, deadline after sending).
// Lock order: m_mutex is the only lock and is never held while the callback runs.
#pragma once

#include "global/time.h"
#include "quota/quotaagent.h"
#include "quota/quotaresource.h"

#include <functional>
#include <mutex>
#include <queue>
#include <utility>
#include <vector>

namespace cyclamenlatch::quota {

class QuotaTable
{
public:
    // Runs on the thread that made units available and must not block.
    using OnAvailable = std::function<void(const QuotaResource &)>;

    // A table whose holdings are set by setHeld only.
    QuotaTable();
    explicit QuotaTable(QuotaAgentSettings settings);

    // Thread-safe, constant time. A failure records demand, which draws units from other entries.
    bool tryAcquire(const QuotaResource &resource);
    // The work is known to have ended.
    void release(const QuotaResource &resource);
    // The work may still run; its unit stays in use until the given time.
    void releaseAfter(const QuotaResource &resource, TimePoint until);
    // Called when a resource whose last acquisition failed has a free unit. Set before use.
    void setOnAvailable(OnAvailable onAvailable);

    QuotaUse use(const QuotaResource &resource) const;
    // For holdings that are not traded. One below what runs is met as work ends: nothing new
    // starts until then.
    void setHeld(const QuotaResource &resource, unsigned units);
    // Releases units whose time given to releaseAfter has come.
    void expire(TimePoint now);

    // Runs a function on the agent under the lock, then announces what has become available.
    template<typename Function>
    void update(Function function)
    {
        std::vector<QuotaResource> available;
        {
            const std::lock_guard lock(m_mutex);
            function(m_agent);
            available = m_agent.takeAvailable();
        }
        announce(available);
    }
    template<typename Function>
    auto inspect(Function function) const
    {
        const std::lock_guard lock(m_mutex);
        return function(std::as_const(m_agent));
    }

private:
    struct PendingRelease
    {
        TimePoint until;
        QuotaResource resource;

        bool operator>(const PendingRelease &other) const { return until > other.until; }
    };

    void announce(const std::vector<QuotaResource> &available) const;

    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    QuotaAgent m_agent;
    // Guarded by m_mutex.
    std::priority_queue<PendingRelease, std::vector<PendingRelease>, std::greater<>> m_pending;
    // Set before use.
    OnAvailable m_onAvailable;
};

} // namespace cyclamenlatch::quota
