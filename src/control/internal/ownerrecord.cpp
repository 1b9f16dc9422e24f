// Writes a record of the owner on the condition that nothing has changed since the last write.
#include "control/ownerrecord.h"

#include "control/storekeys.h"

#include <utility>

namespace cyclamenlatch::control {

using platform::StoreOutcome;

OwnerRecord::OwnerRecord(PlatformStoreClient &store, Ownership &ownership, std::string key)
    : m_store(store)
    , m_ownership(ownership)
    , m_ownerRevision(ownership.tenure().revision)
    , m_key(std::move(key))
{}

void OwnerRecord::write(std::string value, Completion completion,
                        std::vector<platform::StoreTransaction::Write> others)
{
    platform::StoreTransaction transaction;
    transaction.expected = {{std::string(ownerKey), m_ownerRevision}, {m_key, m_revision}};
    transaction.writes = std::move(others);
    transaction.writes.push_back({m_key, std::move(value), 0});
    m_isWriting = true;
    m_store.transaction(transaction, [this, completion = std::move(completion),
                                      alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (alive.expired()) {
            return;
        }
        m_isWriting = false;
        if (reply.outcome == StoreOutcome::Conflict) {
            return handleConflict(reply, completion);
        }
        const bool isStored = reply.outcome == StoreOutcome::Done;
        if (isStored) {
            m_revision = reply.revision;
        }
        completion(isStored);
    });
}

void OwnerRecord::handleConflict(const platform::StoreReply &reply, const Completion &completion)
{
    for (const auto &item : reply.items) {
        if (item.key == ownerKey && item.revision != m_ownerRevision) {
            return m_ownership.resign("another entry has taken over");
        }
        if (item.key == m_key) {
            // An earlier write, which was left without an answer, has been carried out.
            m_revision = item.deleted ? 0 : item.revision;
        }
    }
    completion(false);
}

} // namespace cyclamenlatch::control
