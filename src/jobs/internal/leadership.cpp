// Contends for the leader's key and renews its lease.
#include "jobs/leadership.h"

#include <utility>

namespace cyclamenlatch::jobs {

namespace {

constexpr std::chrono::milliseconds waitForChange{10000};

} // namespace

Leadership::Leadership(store::StoreClient &store, std::string key, std::string self,
                       std::chrono::milliseconds timeToLive)
    : m_store(store)
    , m_key(std::move(key))
    , m_self(std::move(self))
    , m_timeToLive(timeToLive)
{}

bool Leadership::leads(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return m_lease.isHeld(now);
}

void Leadership::tick(TimePoint now)
{
    std::string due;
    {
        const std::lock_guard lock(m_mutex);
        if (m_busy || m_resigned) {
            return;
        }
        if (m_lease.isHeld(now) && !m_lease.isRenewalDue(now)) {
            return;
        }
        if (m_lease.isHeld(now)) {
            due = m_lease.id();
        } else {
            m_lease.lapsed();
        }
        m_busy = true;
    }
    if (due.empty()) {
        look();
    } else {
        renew(due, now);
    }
}

void Leadership::setIdle()
{
    const std::lock_guard lock(m_mutex);
    m_busy = false;
}

void Leadership::look()
{
    m_store.get(m_key, [this](Result<std::optional<store::StoreItem>> item) {
        if (!item) {
            return setIdle();
        }
        if (item.value()) {
            return wait(item.value()->revision);
        }
        contend();
    });
}

// Returns to the next tick as soon as the leader's key changes.
void Leadership::wait(store::StoreRevision after)
{
    m_store.watch(m_key, after, waitForChange,
                  [this](const Result<store::StoreListing> &) { setIdle(); });
}

void Leadership::contend()
{
    const auto sentAt = steadyNow();
    m_store.grantLease(m_timeToLive, [this, sentAt](Result<std::string> lease) {
        if (!lease) {
            return setIdle();
        }
        claim(lease.value(), sentAt);
    });
}

void Leadership::claim(const std::string &lease, TimePoint sentAt)
{
    m_store.compareAndSwap({m_key, m_self, 0, lease},
                           [this, lease, sentAt](Result<store::StoreRevision> written) {
                               if (written) {
                                   const std::lock_guard lock(m_mutex);
                                   m_lease = store::HeldLease(lease, m_timeToLive, sentAt);
                                   m_busy = false;
                                   return;
                               }
                               m_store.endLease(lease, [this](const Result<void> &) { setIdle(); });
                           });
}

void Leadership::renew(const std::string &lease, TimePoint sentAt)
{
    m_store.renewLease(lease, [this, sentAt](Result<void> renewed) {
        const std::lock_guard lock(m_mutex);
        m_busy = false;
        if (renewed) {
            m_lease.renewed(sentAt);
        } else if (renewed.error().kind == ErrorKind::NotFound) {
            m_lease.lapsed();
        }
    });
}

void Leadership::resign()
{
    std::string lease;
    {
        const std::lock_guard lock(m_mutex);
        m_resigned = true;
        lease = m_lease.id();
        m_lease.lapsed();
    }
    if (!lease.empty()) {
        m_store.endLease(lease, [](const Result<void> &) {});
    }
}

} // namespace cyclamenlatch::jobs
