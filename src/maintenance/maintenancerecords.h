// The records of all waves as one reading of the store, kept up to date by a watch. Records are
// only taken from the store's answers, in the store's order, never from the results of own
// writes: the wave machine relies on a reading without gaps.
#pragma once

#include "maintenance/entryrecord.h"
#include "maintenance/hostrecord.h"
#include "maintenance/ledgerrecord.h"
#include "maintenance/versioned.h"
#include "maintenance/waitrecord.h"
#include "maintenance/waverecord.h"

#include <map>
#include <string>
#include <unordered_map>

namespace cyclamenlatch::maintenance {

class MaintenanceRecords
{
public:
    // A listing older than what was taken is left alone; returns false then.
    bool take(const store::StoreListing &listing);

    // Of the store when the reading was made.
    store::StoreRevision revision() const { return m_revision; }
    // Of one key; 0 when the reading holds no such key.
    store::StoreRevision revisionOf(const std::string &key) const;
    const std::map<WaveId, Versioned<WaveRecord>> &waves() const { return m_waves; }
    const std::unordered_map<WorkerId, Versioned<HostRecord>> &hosts(const WaveId &wave) const;
    const std::unordered_map<std::string, Versioned<LedgerRecord>> &ledgers() const
    {
        return m_ledgers;
    }

    const EntryRecords &entries() const { return m_entries; }
    // By data centre.
    const std::map<DataCentreId, WaitRecord> &waits() const { return m_waits; }

private:
    void takeItem(const store::StoreItem &item);
    void takeWave(const store::StoreItem &item);
    void takeHost(const store::StoreItem &item);
    void takeLedger(const store::StoreItem &item);
    void takeEntry(const store::StoreItem &item);
    void takeWait(const store::StoreItem &item);

    store::StoreRevision m_revision = 0;
    std::unordered_map<std::string, store::StoreRevision> m_revisions;
    std::map<WaveId, Versioned<WaveRecord>> m_waves;
    std::unordered_map<WaveId, std::unordered_map<WorkerId, Versioned<HostRecord>>> m_hosts;
    std::unordered_map<std::string, Versioned<LedgerRecord>> m_ledgers;
    EntryRecords m_entries;
    std::map<DataCentreId, WaitRecord> m_waits;
};

} // namespace cyclamenlatch::maintenance
