// Elects one entry by a key of the store that lives with a lease. Leading only keeps two entries
// from doing the same work; what must hold rests on compare-and-swap of each record.
// Lock order: m_mutex is the only lock and is never held over a call to the store.
#pragma once

#include "store/heldlease.h"
#include "store/storeclient.h"

#include <mutex>
#include <string>

namespace cyclamenlatch::jobs {

class Leadership
{
public:
    Leadership(store::StoreClient &store, std::string key, std::string self,
               std::chrono::milliseconds timeToLive);

    // Renews the lease or contends for the key; call it several times per time to live.
    void tick(TimePoint now);
    bool leads(TimePoint now) const;
    // Gives the lease back, so that another entry need not wait for its end.
    void resign();

private:
    void look();
    void wait(store::StoreRevision after);
    void contend();
    void claim(const std::string &lease, TimePoint sentAt);
    void renew(const std::string &lease, TimePoint sentAt);
    void setIdle();

    store::StoreClient &m_store;
    const std::string m_key;
    const std::string m_self;
    const std::chrono::milliseconds m_timeToLive;

    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex. A call to the store is under way.
    bool m_busy = false;
    bool m_resigned = false;
    // Held only while the key is this entry's.
    store::HeldLease m_lease;
};

} // namespace cyclamenlatch::jobs
