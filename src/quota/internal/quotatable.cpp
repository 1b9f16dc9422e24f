// Counts units in use against units held.
#include "quota/quotatable.h"

#include <utility>

namespace cyclamenlatch::quota {

bool QuotaTable::tryAcquire(const QuotaResource &resource)
{
    const std::lock_guard lock(m_mutex);
    auto &holding = m_holdings[resource];
    if (holding.running >= holding.held) {
        ++holding.refused;
        holding.wanted = true;
        return false;
    }
    ++holding.running;
    return true;
}

void QuotaTable::release(const QuotaResource &resource)
{
    bool available = false;
    {
        const std::lock_guard lock(m_mutex);
        auto &holding = m_holdings[resource];
        if (holding.running > 0) {
            --holding.running;
        }
        available = takeWant(holding);
    }
    if (available && m_onAvailable) {
        m_onAvailable(resource);
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
    const auto found = m_holdings.find(resource);
    if (found == m_holdings.end()) {
        return {};
    }
    return {found->second.held, found->second.running, found->second.refused};
}

void QuotaTable::setHeld(const QuotaResource &resource, unsigned units)
{
    bool available = false;
    {
        const std::lock_guard lock(m_mutex);
        auto &holding = m_holdings[resource];
        holding.held = units;
        available = takeWant(holding);
    }
    if (available && m_onAvailable) {
        m_onAvailable(resource);
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

bool QuotaTable::takeWant(Holding &holding)
{
    if (!holding.wanted || holding.running >= holding.held) {
        return false;
    }
    holding.wanted = false;
    return true;
}

} // namespace cyclamenlatch::quota
