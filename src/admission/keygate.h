// What an entry knows about withdrawn keys, and how fresh that knowledge is. Thread-safe.
// Lock order: m_mutex is the only lock.
#pragma once

#include "global/ids.h"
#include "global/time.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cyclamenlatch::admission {

class KeyGate
{
public:
    // Tells when the entry last knew of every withdrawal.
    using EvidenceClock = std::function<TimePoint()>;

    // Evidence older than bound is stale. Set before requests come in.
    void setEvidence(EvidenceClock evidenceAt, Duration bound)
    {
        m_evidenceAt = std::move(evidenceAt);
        m_bound = bound;
    }

    // Adds withdrawn keys; a key is never given back.
    void addWithdrawn(const std::vector<KeyId> &ids)
    {
        const std::lock_guard lock(m_mutex);
        auto withdrawn = std::make_shared<Keys>(*m_withdrawn);
        withdrawn->insert(ids.begin(), ids.end());
        m_withdrawn = std::move(withdrawn);
    }

    bool isWithdrawn(const KeyId &id) const
    {
        std::shared_ptr<const Keys> withdrawn;
        {
            const std::lock_guard lock(m_mutex);
            withdrawn = m_withdrawn;
        }
        return withdrawn->contains(id);
    }

    bool isFresh(TimePoint now) const { return m_evidenceAt && now < m_evidenceAt() + m_bound; }

private:
    using Keys = std::unordered_set<KeyId>;

    EvidenceClock m_evidenceAt;
    Duration m_bound{};
    mutable std::mutex m_mutex;
    // Guarded by m_mutex; the set itself never changes.
    std::shared_ptr<const Keys> m_withdrawn = std::make_shared<Keys>();
};

} // namespace cyclamenlatch::admission
