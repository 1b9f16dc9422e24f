// Records as the store holds them: JSON.
#pragma once

#include "global/result.h"
#include "maintenance/entryrecord.h"
#include "maintenance/hostrecord.h"
#include "maintenance/ledgerrecord.h"
#include "maintenance/waitrecord.h"
#include "maintenance/waverecord.h"

#include <string>

namespace cyclamenlatch::maintenance {

inline constexpr const char *recordPrefix = "maintenance/";
inline constexpr const char *wavePrefix = "maintenance/waves/";
inline constexpr const char *hostPrefix = "maintenance/hosts/";
inline constexpr const char *ledgerPrefix = "maintenance/ledger/";
inline constexpr const char *entryPrefix = "maintenance/entries/";
inline constexpr const char *waitPrefix = "maintenance/waits/";

std::string waveKey(const WaveId &wave);
std::string hostKey(const WaveId &wave, const WorkerId &worker);
std::string ledgerKey(const std::string &budget);
std::string entryKey(const EntryId &entry);
std::string waitKey(const DataCentreId &dataCentre);

std::string writeRecord(const WaveRecord &record);
std::string writeRecord(const HostRecord &record);
std::string writeRecord(const LedgerRecord &record);
std::string writeRecord(const EntryRecord &record);
std::string writeRecord(const WaitRecord &record);

// Fail with kind Internal on text that is not such a record.
Result<WaveRecord> readWaveRecord(const std::string &text);
Result<HostRecord> readHostRecord(const std::string &text);
Result<LedgerRecord> readLedgerRecord(const std::string &text);
Result<EntryRecord> readEntryRecord(const std::string &text);
Result<WaitRecord> readWaitRecord(const std::string &text);

} // namespace cyclamenlatch::maintenance
