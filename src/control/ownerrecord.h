// A record that only the owner writes, such as the progress of a wave. Every write is conditional
// on the ownership and on the revision of the record before it: a write that was left without an
// answer does nothing when the store carries it out behind a later one. Runs on the event loop's
// only thread.
#pragma once

#include "control/ownership.h"
#include "control/platformstoreclient.h"
#include "platform/storecodec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

class OwnerRecord
{
public:
    // isStored is false if the record may or may not be stored and has to be written again.
    using Completion = std::function<void(bool isStored)>;

    // For the ownership's present tenure. The references must outlive this object.
    OwnerRecord(PlatformStoreClient &store, Ownership &ownership, std::string key);
    OwnerRecord(const OwnerRecord &) = delete;
    OwnerRecord &operator=(const OwnerRecord &) = delete;

    const std::string &key() const { return m_key; }
    // The revision with which the record was read; without it, the record must not exist yet.
    void setRevision(platform::StoreRevision revision) { m_revision = revision; }
    bool isWriting() const { return m_isWriting; }
    // Replaces the record, and with it others that are written only together with it. Must not be
    // called while a write is under way. The completion does not run if another entry has become
    // the owner, which ends the ownership here, nor once this object is gone.
    void write(std::string value, Completion completion,
               std::vector<platform::StoreTransaction::Write> others = {});

private:
    void handleConflict(const platform::StoreReply &reply, const Completion &completion);

    PlatformStoreClient &m_store;
    Ownership &m_ownership;
    const platform::StoreRevision m_ownerRevision;
    const std::string m_key;
    // Of the last write that was confirmed, or read; 0: the record does not exist.
    platform::StoreRevision m_revision = 0;
    bool m_isWriting = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
