// Serialises access to the agent and announces available units outside the lock.
#include "quota/quotatable.h"

#include <utility>

namespace cyclamenlatch::quota {

QuotaTable::QuotaTable()
    : QuotaTable(QuotaAgentSettings{})
{}

QuotaTable::QuotaTable(QuotaAgentSettings settings)
    : m_agent(std::move(settings))
{}

bool QuotaTable::tryAcquire(const QuotaResource &resource)
{
    const std::lock_guard lock(m_mutex);
    return m_agent.node().tryAcquire(resource);
}

void QuotaTable::release(const QuotaResource &resource)
{
    bool available = false;
    {
        const std::lock_guard lock(m_mutex);
        available = m_agent.node().release(resource);
    }
    if (available) {
        announce({resource});
    }
}

void QuotaTable::releaseAfter(const QuotaResource &resource, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_pending.push({until, resource});
}

void QuotaTable::setOnAvailable(OnAvailable onAvailable)
{
    m_onAvailable = std::move(onAvailable);
}

QuotaUse QuotaTable::use(const QuotaResource &resource) const
{
    const std::lock_guard lock(m_mutex);
    return m_agent.node().use(resource);
}

void QuotaTable::setHeld(const QuotaResource &resource, unsigned units)
{
    bool available = false;
    {
        const std::lock_guard lock(m_mutex);
        available = m_agent.node().setHeld(resource, units);
    }
    if (available) {
        announce({resource});
    }
}

void QuotaTable::expire(TimePoint now)
{
    std::vector<QuotaResource> due;
    {
        const std::lock_guard lock(m_mutex);
        while (!m_pending.empty() && m_pending.top().until <= now) {
            due.push_back(m_pending.top().resource);
            m_pending.pop();
        }
    }
    for (const auto &resource : due) {
        release(resource);
    }
}

void QuotaTable::announce(const std::vector<QuotaResource> &available) const
{
    for (const auto &resource : available) {
        if (m_onAvailable) {
            m_onAvailable(resource);
        }
    }
}

} // namespace cyclamenlatch::quota
