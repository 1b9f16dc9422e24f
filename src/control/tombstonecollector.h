// Removes tombstones of cancelled ids after their retention. Only the owner does, so that they are
// removed whatever becomes of the entries that wrote them. A tombstone counts from the list that
// first shows it, and from the beginning again after a list that failed: while the store does not
// answer, it may not carry out changes either. Runs on the event loop's only thread.
#pragma once

#include "control/metrics.h"
#include "control/platformstoreclient.h"
#include "global/time.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

class TombstoneCollector
{
public:
    // ownerRevision: revision of the owner's key, on which every removal is conditional.
    TombstoneCollector(PlatformStoreClient &store, Metrics &metrics,
                       platform::StoreRevision ownerRevision, Duration retention);

    // Lists the tombstones when that is due. To be called while the ownership is held.
    void tick(TimePoint now);

private:
    struct Seen
    {
        platform::StoreRevision revision = 0;
        TimePoint since{};
    };

    void handleList(const platform::StoreReply &reply, TimePoint now);
    // Removes the items in batches, one at a time, until one fails.
    void remove(std::vector<platform::StoreItem> items);

    PlatformStoreClient &m_store;
    Metrics &m_metrics;
    const platform::StoreRevision m_ownerRevision;
    const Duration m_retention;
    TimePoint m_nextListAt{};
    // A list or a removal is under way.
    bool m_isBusy = false;
    // By key; a tombstone of another revision was written anew.
    std::map<std::string, Seen> m_seen;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
