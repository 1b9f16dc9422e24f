// The platform's key-value store as a pure state machine: compare-and-swap, leases and the
// changes that a watch reports. Time is passed in.
#pragma once

#include "global/time.h"
#include "platform/storeitem.h"
#include "platform/storewrite.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenlatch::standins {

class StoreModel
{
public:
    std::optional<platform::StoreItem> get(const std::string &key) const;
    platform::StoreListing list(std::string_view prefix) const;
    // Items under prefix whose last change is newer than the revision, deletions included.
    platform::StoreListing changes(std::string_view prefix, platform::StoreRevision after) const;

    // Returns the new revision, or nothing when the key's revision is not the expected one or
    // the lease does not exist.
    std::optional<platform::StoreRevision> write(const platform::StoreWrite &write);
    std::optional<platform::StoreRevision> remove(const std::string &key,
                                                  platform::StoreRevision expected);

    std::string grantLease(Duration timeToLive, TimePoint now);
    // Returns false when the lease has lapsed; its keys are gone then.
    bool renewLease(const std::string &lease, TimePoint now);
    void endLease(const std::string &lease);
    void expireLeases(TimePoint now);

    platform::StoreRevision revision() const { return m_revision; }

private:
    struct Lease
    {
        Duration timeToLive{};
        TimePoint expiry;
    };
    struct StoredItem
    {
        platform::StoreItem item;
        std::string lease;
    };

    platform::StoreRevision revisionOf(const std::string &key) const;

    platform::StoreRevision m_revision = 0;
    std::uint64_t m_nextLease = 1;
    // Deleted keys stay as tombstones so that watches can report them.
    std::map<std::string, StoredItem> m_items;
    std::map<std::string, Lease> m_leases;
};

} // namespace cyclamenlatch::standins
