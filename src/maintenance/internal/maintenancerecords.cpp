// Parses the records below the maintenance prefix as they change.
#include "maintenance/maintenancerecords.h"

#include "maintenance/maintenanceevents.h"
#include "maintenance/recordjson.h"

#include <string_view>

namespace cyclamenlatch::maintenance {

bool MaintenanceRecords::take(const store::StoreListing &listing)
{
    if (listing.revision < m_revision) {
        return false;
    }
    for (const auto &item : listing.items) {
        takeItem(item);
    }
    m_revision = listing.revision;
    return true;
}

store::StoreRevision MaintenanceRecords::revisionOf(const std::string &key) const
{
    const auto found = m_revisions.find(key);
    return found == m_revisions.end() ? 0 : found->second;
}

const std::unordered_map<WorkerId, Versioned<HostRecord>> &MaintenanceRecords::hosts(
        const WaveId &wave) const
{
    static const std::unordered_map<WorkerId, Versioned<HostRecord>> none;
    const auto found = m_hosts.find(wave);
    return found == m_hosts.end() ? none : found->second;
}

void MaintenanceRecords::takeItem(const store::StoreItem &item)
{
    auto &revision = m_revisions[item.key];
    if (item.revision <= revision) {
        return;
    }
    revision = item.revision;
    if (item.key.starts_with(wavePrefix)) {
        takeWave(item);
    } else if (item.key.starts_with(hostPrefix)) {
        takeHost(item);
    } else if (item.key.starts_with(ledgerPrefix)) {
        takeLedger(item);
    } else if (item.key.starts_with(entryPrefix)) {
        takeEntry(item);
    } else if (item.key.starts_with(waitPrefix)) {
        takeWait(item);
    }
}

void MaintenanceRecords::takeWave(const store::StoreItem &item)
{
    const WaveId wave(item.key.substr(std::string_view(wavePrefix).size()));
    if (item.deleted) {
        m_waves.erase(wave);
        return;
    }
    auto record = readWaveRecord(item.value);
    if (!record) {
        logEvent(recordMalformed, "{}: {}", item.key, record.error().message);
        return;
    }
    m_waves[wave] = {std::move(record.value()), item.revision};
}

void MaintenanceRecords::takeHost(const store::StoreItem &item)
{
    const auto rest = item.key.substr(std::string_view(hostPrefix).size());
    const auto slash = rest.find('/');
    const WaveId wave(rest.substr(0, slash));
    if (item.deleted) {
        m_hosts[wave].erase(WorkerId(rest.substr(slash + 1)));
        return;
    }
    auto record = readHostRecord(item.value);
    if (!record) {
        logEvent(recordMalformed, "{}: {}", item.key, record.error().message);
        return;
    }
    const auto worker = record.value().worker;
    m_hosts[wave][worker] = {std::move(record.value()), item.revision};
}

void MaintenanceRecords::takeLedger(const store::StoreItem &item)
{
    const auto budget = item.key.substr(std::string_view(ledgerPrefix).size());
    if (item.deleted) {
        m_ledgers.erase(budget);
        return;
    }
    auto record = readLedgerRecord(item.value);
    if (!record) {
        logEvent(recordMalformed, "{}: {}", item.key, record.error().message);
        return;
    }
    m_ledgers[budget] = {std::move(record.value()), item.revision};
}

void MaintenanceRecords::takeEntry(const store::StoreItem &item)
{
    const EntryId entry(item.key.substr(std::string_view(entryPrefix).size()));
    if (item.deleted) {
        m_entries.erase(entry);
        return;
    }
    auto record = readEntryRecord(item.value);
    if (!record) {
        logEvent(recordMalformed, "{}: {}", item.key, record.error().message);
        return;
    }
    m_entries[entry] = {std::move(record.value()), item.revision};
}

void MaintenanceRecords::takeWait(const store::StoreItem &item)
{
    const DataCentreId dataCentre(item.key.substr(std::string_view(waitPrefix).size()));
    const auto record = readWaitRecord(item.value);
    if (item.deleted || !record) {
        m_waits.erase(dataCentre);
        return;
    }
    m_waits[dataCentre] = record.value();
}

} // namespace cyclamenlatch::maintenance
