// Stores failed work by signature, limited by age and number.
#include "dispatch/workfaults.h"

namespace cyclamenlatch::dispatch {

namespace {

constexpr Duration retention = std::chrono::seconds(60);
constexpr std::size_t maxSignatures = 10000;

} // namespace

bool WorkFaults::addFailure(WorkSignature work, const WorkerId &worker, unsigned minWorkers,
                            TimePoint now)
{
    removeExpired(now);
    const auto [failed, isNew] = m_failedOn.try_emplace(work);
    if (isNew) {
        m_firstFailures.emplace_back(now, work);
    }
    failed->second.insert(worker);
    return failed->second.size() >= minWorkers;
}

void WorkFaults::addSuccess(WorkSignature work)
{
    m_failedOn.erase(work);
}

bool WorkFaults::isAtFault(WorkSignature work, unsigned minWorkers) const
{
    const auto found = m_failedOn.find(work);
    return found != m_failedOn.end() && found->second.size() >= minWorkers;
}

void WorkFaults::removeExpired(TimePoint now)
{
    while (!m_firstFailures.empty()
           && (m_firstFailures.size() > maxSignatures
               || m_firstFailures.front().first + retention < now)) {
        m_failedOn.erase(m_firstFailures.front().second);
        m_firstFailures.pop_front();
    }
}

} // namespace cyclamenlatch::dispatch
