// Picks records of waves that finished long ago.
#include "maintenance/waveretention.h"

#include "maintenance/recordjson.h"

#include <algorithm>

namespace cyclamenlatch::maintenance {

namespace {

bool hasClaims(const MaintenanceRecords &records, const WaveId &wave)
{
    const auto &ledgers = records.ledgers();
    return std::any_of(ledgers.begin(), ledgers.end(), [&](const auto &item) {
        const auto &claims = item.second.record.claims;
        return std::any_of(claims.begin(), claims.end(),
                           [&](const Claim &claim) { return claim.wave == wave; });
    });
}

} // namespace

std::vector<RecordToRemove> recordsToRemove(const MaintenanceRecords &records, RecordTime now,
                                            std::chrono::milliseconds retention, std::size_t most)
{
    std::vector<RecordToRemove> removals;
    for (const auto &[id, wave] : records.waves()) {
        const bool isOld = wave.record.state == WaveState::Done
                           && now - wave.record.finished > retention.count();
        if (!isOld || hasClaims(records, id)) {
            continue;
        }
        const auto &hosts = records.hosts(id);
        for (const auto &[worker, host] : hosts) {
            if (removals.size() < most && host.record.step == HostStep::Done) {
                removals.push_back({hostKey(id, worker), host.revision});
            }
        }
        if (hosts.empty() && removals.size() < most) {
            removals.push_back({waveKey(id), wave.revision});
        }
    }
    return removals;
}

} // namespace cyclamenlatch::maintenance
