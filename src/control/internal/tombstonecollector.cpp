// Lists and removes tombstones.
#include "control/tombstonecollector.h"

#include "control/controlevents.h"
#include "control/storekeys.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::control {

namespace {

using platform::StoreOutcome;

constexpr int listsPerRetention = 4;
// Each tombstone takes a condition and a removal, and the owner's key a condition.
constexpr std::size_t maxRemovals = (platform::maxTransactionEntries - 1) / 2;

} // namespace

TombstoneCollector::TombstoneCollector(PlatformStoreClient &store, Metrics &metrics,
                                       platform::StoreRevision ownerRevision, Duration retention)
    : m_store(store)
    , m_metrics(metrics)
    , m_ownerRevision(ownerRevision)
    , m_retention(retention)
{}

void TombstoneCollector::tick(TimePoint now)
{
    if (m_isBusy || now < m_nextListAt) {
        return;
    }
    const bool isFirst = m_nextListAt == TimePoint{};
    m_nextListAt = now + m_retention / listsPerRetention;
    if (isFirst) {
        // A new owner has more urgent lists to read.
        return;
    }
    m_isBusy = true;
    m_store.list(std::string(tombstonePrefix),
                 [this, now, alive = std::weak_ptr(m_alive)](const auto &reply) {
                     if (!alive.expired()) {
                         m_isBusy = false;
                         handleList(reply, now);
                     }
                 });
}

void TombstoneCollector::handleList(const platform::StoreReply &reply, TimePoint now)
{
    const auto seenBefore = std::exchange(m_seen, {});
    if (reply.outcome != StoreOutcome::Done) {
        return;
    }
    std::vector<platform::StoreItem> expired;
    for (const auto &item : reply.items) {
        const auto found = seenBefore.find(item.key);
        const bool isSame = found != seenBefore.end() && found->second.revision == item.revision;
        const auto since = isSame ? found->second.since : now;
        m_seen[item.key] = {item.revision, since};
        if (now - since >= m_retention) {
            expired.push_back(item);
        }
    }
    m_metrics.set("tombstones", static_cast<double>(m_seen.size()));
    if (!expired.empty()) {
        logEvent(tombstonesExpired, "expired={} kept={}", expired.size(),
                 m_seen.size() - expired.size());
        remove(std::move(expired));
    }
}

void TombstoneCollector::remove(std::vector<platform::StoreItem> items)
{
    const auto count = std::min(items.size(), maxRemovals);
    if (count == 0) {
        return;
    }
    platform::StoreTransaction transaction;
    transaction.expected = {{std::string(ownerKey), m_ownerRevision}};
    for (auto item = items.end() - static_cast<std::ptrdiff_t>(count); item != items.end();
         ++item) {
        transaction.expected.push_back({item->key, item->revision});
        transaction.removals.push_back(item->key);
    }
    items.resize(items.size() - count);
    m_isBusy = true;
    m_store.transaction(transaction, [this, items = std::move(items),
                                      alive = std::weak_ptr(m_alive)](const auto &reply) mutable {
        if (alive.expired()) {
            return;
        }
        m_isBusy = false;
        // What was not removed is listed again.
        if (reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Conflict) {
            remove(std::move(items));
        }
    });
}

} // namespace cyclamenlatch::control
