// The platform's key-value store as a pure state machine: compare-and-swap, leases and the
// changes that a watch reports. Time is passed in.
#pragma once

#include "global/time.h"
#include "store/storeitem.h"
#include "store/storewrite.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenlatch::standins {

class StoreModel
{
public:
    std::optional<store::StoreItem> get(const std::string &key) const;
    store::StoreListing list(std::string_view prefix) const;
    // Items under prefix whose last change is newer than the revision, deletions included.
    store::StoreListing changes(std::string_view prefix, store::StoreRevision after) const;

    // Returns the new revision, or nothing when the key's revision is not the expected one or
    // the lease does not exist.
    std::optional<store::StoreRevision> write(const store::StoreWrite &write);
    std::optional<store::StoreRevision> remove(const std::string &key,
                                               store::StoreRevision expected);

    std::string grantLease(Duration timeToLive, TimePoint now);
    // Returns false when the lease has lapsed; its keys are gone then.
    bool renewLease(const std::string &lease, TimePoint now);
    void endLease(const std::string &lease);
    void expireLeases(TimePoint now);

    store::StoreRevision revision() const { return m_revision; }

private:
    struct Lease
    {
        Duration timeToLive{};
        TimePoint expiry;
    };
    struct StoredItem
    {
        store::StoreItem item;
        std::string lease;
    };

    store::StoreRevision revisionOf(const std::string &key) const;

    store::StoreRevision m_revision = 0;
    std::uint64_t m_nextLease = 1;
    // Deleted keys stay as tombstones so that watches can report them.
    std::map<std::string, StoredItem> m_items;
    std::map<std::string, Lease> m_leases;
};

} // namespace cyclamenlatch::standins
