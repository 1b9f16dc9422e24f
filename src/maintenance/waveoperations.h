// What operators do with waves, on any entry: plan, start, pause, resume, look.
// Lock order: m_mutex is the only lock and is never held over a call.
#pragma once

#include "fleet/fleetdocument.h"
#include "global/result.h"
#include "maintenance/entrylife.h"
#include "maintenance/maintenancerecords.h"
#include "maintenance/wavestatus.h"
#include "store/storeclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenlatch::maintenance {

class WaveOperations
{
public:
    using WaveCompletion = std::function<void(Result<WaveRecord>)>;
    using EntryCompletion = std::function<void(Result<EntryRecord>)>;
    using StatusCompletion = std::function<void(Result<std::vector<WaveStatus>>)>;

    explicit WaveOperations(store::StoreClient &store);

    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);

    // What a wave over the selector would do now. Kind InvalidInput: the selector can't be read
    // or matches nothing; Unavailable: this entry has no fleet document yet.
    Result<WaveStatus> plan(const WaveId &wave, const std::string &selector,
                            const WaveSettings &settings) const;
    // Kind Conflict: a wave of that name exists.
    void start(const WaveId &wave, const std::string &selector, const WaveSettings &settings,
               WaveCompletion completion);
    void pause(const WaveId &wave, const std::string &reason, WaveCompletion completion);
    void resume(const WaveId &wave, WaveCompletion completion);
    // All waves, or the one that is named.
    void status(const WaveId &wave, StatusCompletion completion) const;
    // Takes an operator's word that the entry's process has ended for good, so that waves and moves
    // no longer wait for it; it counts again when it answers or starts anew. Check first that it is
    // not alive. Kind NotFound: no such entry was ever recorded; Conflict: it changed meanwhile, or
    // a newer process of it is recorded than the word is about.
    void entryGone(const EntryLife &life, const std::string &saidBy, EntryCompletion completion);

private:
    using Change = std::function<Result<void>(WaveRecord &)>;

    void change(const WaveId &wave, const Change &change, WaveCompletion completion);
    std::vector<WaveStatus> statusOf(const MaintenanceRecords &records, const WaveId &wave) const;
    std::shared_ptr<const fleet::FleetDocument> fleet() const;

    store::StoreClient &m_store;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
};

} // namespace cyclamenlatch::maintenance
