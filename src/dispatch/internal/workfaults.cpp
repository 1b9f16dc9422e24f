// Remembers failing work by signature, bounded by time and count.
#include "dispatch/workfaults.h"

namespace cyclamenlatch::dispatch {

namespace {

constexpr Duration memory = std::chrono::seconds(60);
constexpr std::size_t maxSignatures = 10000;

} // namespace

bool WorkFaults::addFailure(WorkSignature work, const WorkerId &worker, unsigned minWorkers,
                            TimePoint now)
{
    forgetOld(now);
    const auto [failed, isNew] = m_failedOn.try_emplace(work);
    if (isNew) {
        m_notedAt.emplace_back(now, work);
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

void WorkFaults::forgetOld(TimePoint now)
{
    while (!m_notedAt.empty()
           && (m_notedAt.size() > maxSignatures || m_notedAt.front().first + memory < now)) {
        m_failedOn.erase(m_notedAt.front().second);
        m_notedAt.pop_front();
    }
}

} // namespace cyclamenlatch::dispatch
