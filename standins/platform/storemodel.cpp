// The stand-in store's state machine.
#include "standins/platform/storemodel.h"

#include <vector>

namespace cyclamenlatch::standins {

using store::StoreItem;
using store::StoreListing;
using store::StoreRevision;
using store::StoreWrite;

std::optional<StoreItem> StoreModel::get(const std::string &key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end() || found->second.item.deleted) {
        return std::nullopt;
    }
    return found->second.item;
}

StoreListing StoreModel::list(std::string_view prefix) const
{
    StoreListing listing;
    listing.revision = m_revision;
    for (const auto &[key, stored] : m_items) {
        if (key.starts_with(prefix) && !stored.item.deleted) {
            listing.items.push_back(stored.item);
        }
    }
    return listing;
}

StoreListing StoreModel::changes(std::string_view prefix, StoreRevision after) const
{
    StoreListing listing;
    listing.revision = m_revision;
    for (const auto &[key, stored] : m_items) {
        if (key.starts_with(prefix) && stored.item.revision > after) {
            listing.items.push_back(stored.item);
        }
    }
    return listing;
}

StoreRevision StoreModel::revisionOf(const std::string &key) const
{
    const auto item = get(key);
    return item ? item->revision : 0;
}

std::optional<StoreRevision> StoreModel::write(const StoreWrite &write)
{
    if (revisionOf(write.key) != write.expected) {
        return std::nullopt;
    }
    if (!write.lease.empty() && !m_leases.contains(write.lease)) {
        return std::nullopt;
    }
    ++m_revision;
    m_items[write.key] = {{.key = write.key, .value = write.value, .revision = m_revision},
                          write.lease};
    return m_revision;
}

std::optional<StoreRevision> StoreModel::remove(const std::string &key, StoreRevision expected)
{
    if (expected == 0 || revisionOf(key) != expected) {
        return std::nullopt;
    }
    ++m_revision;
    m_items[key] = {{.key = key, .revision = m_revision, .deleted = true}, ""};
    return m_revision;
}

std::string StoreModel::grantLease(Duration timeToLive, TimePoint now)
{
    auto id = "lease-" + std::to_string(m_nextLease++);
    m_leases[id] = {timeToLive, now + timeToLive};
    return id;
}

bool StoreModel::renewLease(const std::string &lease, TimePoint now)
{
    expireLeases(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.expiry = now + found->second.timeToLive;
    return true;
}

void StoreModel::endLease(const std::string &lease)
{
    if (m_leases.erase(lease) == 0) {
        return;
    }
    std::vector<std::string> keys;
    for (const auto &[key, stored] : m_items) {
        if (stored.lease == lease && !stored.item.deleted) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        remove(key, revisionOf(key));
    }
}

void StoreModel::expireLeases(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiry <= now) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        endLease(id);
    }
}

} // namespace cyclamenlatch::standins
