// What a lease holder knows about its own lease. The holder counts the time to live from when it
// sent the renewal, so a process that was paused sees that its lease may have lapsed before it
// acts on it. Ask isHeld right before each act that needs the lease.
#pragma once

#include "global/time.h"

#include <string>
#include <utility>

namespace cyclamenlatch::store {

class HeldLease
{
public:
    HeldLease() = default;
    HeldLease(std::string id, Duration timeToLive, TimePoint grantSentAt)
        : m_id(std::move(id))
        , m_timeToLive(timeToLive)
        , m_safeUntil(grantSentAt + timeToLive)
    {}

    const std::string &id() const { return m_id; }
    bool isHeld(TimePoint now) const { return !m_id.empty() && now < m_safeUntil; }
    // Renew at a third of the time to live, which leaves room for two failed renewals.
    bool isRenewalDue(TimePoint now) const
    {
        return !m_id.empty() && now + m_timeToLive * 2 / 3 >= m_safeUntil;
    }
    // renewalSentAt is when the call that succeeded was sent, not when its answer came.
    void renewed(TimePoint renewalSentAt)
    {
        m_safeUntil = std::max(m_safeUntil, renewalSentAt + m_timeToLive);
    }
    void lapsed() { m_id.clear(); }

private:
    // Empty: none is held.
    std::string m_id;
    Duration m_timeToLive{};
    // Past this the store may have ended the lease.
    TimePoint m_safeUntil{};
};

} // namespace cyclamenlatch::store
