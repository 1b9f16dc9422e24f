// Operators' changes to waves: each is one conditional write.
#include "maintenance/waveoperations.h"

#include "fleet/selector.h"
#include "maintenance/hostorder.h"
#include "maintenance/maintenanceevents.h"
#include "maintenance/recordjson.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::maintenance {

namespace {

RecordTime recordNow()
{
    return wallNow().time_since_epoch().count();
}

WaveStatus statusOfView(const WaveView &view)
{
    WaveStatus status;
    status.wave = view.wave.record;
    status.progress = progressOf(view);
    for (const auto &worker : view.wave.record.hosts) {
        const auto host = view.hosts.find(worker);
        if (host != view.hosts.end() && host->second.record.step != HostStep::Pending
            && host->second.record.step != HostStep::Done) {
            status.underWay.push_back(host->second.record);
        }
    }
    return status;
}

} // namespace

WaveOperations::WaveOperations(store::StoreClient &store)
    : m_store(store)
{}

void WaveOperations::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    const std::lock_guard lock(m_mutex);
    m_fleet = std::move(fleet);
}

std::shared_ptr<const fleet::FleetDocument> WaveOperations::fleet() const
{
    const std::lock_guard lock(m_mutex);
    return m_fleet;
}

Result<WaveStatus> WaveOperations::plan(const WaveId &wave, const std::string &selector,
                                        const WaveSettings &settings) const
{
    const auto document = fleet();
    if (!document) {
        return failure(ErrorKind::Unavailable, "this entry has no fleet document yet",
                       "wait until it is ready, or ask another entry");
    }
    BOOST_OUTCOME_TRY(parsed, fleet::Selector::parse(selector));
    WaveView view;
    view.wave.record.wave = wave;
    view.wave.record.selector = selector;
    view.wave.record.started = view.wave.record.resumed = recordNow();
    view.wave.record.settings = settings;
    view.wave.record.hosts = orderHosts(*document, parsed, settings);
    view.budgets = budgetsOf(*document, settings);
    if (view.wave.record.hosts.empty()) {
        return failure(ErrorKind::InvalidInput, fmt::format("no worker matches \"{}\"", selector),
                       "correct the selector, or label the workers");
    }
    return statusOfView(view);
}

void WaveOperations::start(const WaveId &wave, const std::string &selector,
                           const WaveSettings &settings, WaveCompletion completion)
{
    auto planned = plan(wave, selector, settings);
    if (!planned) {
        return completion(planned.error());
    }
    auto record = std::move(planned.value().wave);
    store::StoreWrite write{waveKey(wave), writeRecord(record), 0, ""};
    m_store.compareAndSwap(std::move(write), [record = std::move(record),
                                              completion = std::move(completion)](
                                                     Result<store::StoreRevision> written) {
        if (written) {
            return completion(record);
        }
        if (written.error().kind == ErrorKind::Conflict) {
            return completion(failure(ErrorKind::Conflict,
                                      fmt::format("a wave named {} exists", record.wave.value()),
                                      "look at its status, or choose another name"));
        }
        completion(written.error());
    });
}

void WaveOperations::pause(const WaveId &wave, const std::string &reason, WaveCompletion completion)
{
    change(
            wave,
            [reason](WaveRecord &record) -> Result<void> {
                if (record.state == WaveState::Done) {
                    return failure(ErrorKind::Conflict, "the wave is done",
                                   "nothing is left to pause");
                }
                record.state = WaveState::Paused;
                record.reason = reason;
                return success();
            },
            std::move(completion));
}

void WaveOperations::resume(const WaveId &wave, WaveCompletion completion)
{
    change(
            wave,
            [](WaveRecord &record) -> Result<void> {
                if (record.state == WaveState::Done) {
                    return failure(ErrorKind::Conflict, "the wave is done", "start a new wave");
                }
                record.state = WaveState::Running;
                record.reason.clear();
                record.resumed = recordNow();
                return success();
            },
            std::move(completion));
}

void WaveOperations::change(const WaveId &wave, const Change &change, WaveCompletion completion)
{
    m_store.get(waveKey(wave), [this, wave, change, completion = std::move(completion)](
                                       Result<std::optional<store::StoreItem>> found) {
        if (!found) {
            return completion(found.error());
        }
        if (!found.value()) {
            return completion(failure(ErrorKind::NotFound,
                                      fmt::format("there is no wave {}", wave.value()),
                                      "wave status lists them"));
        }
        auto record = readWaveRecord(found.value()->value);
        if (!record) {
            return completion(record.error());
        }
        const auto changed = change(record.value());
        if (!changed) {
            return completion(changed.error());
        }
        m_store.compareAndSwap(
                {waveKey(wave), writeRecord(record.value()), found.value()->revision, ""},
                [record = record.value(), completion](Result<store::StoreRevision> written) {
                    if (!written) {
                        return completion(written.error());
                    }
                    completion(record);
                });
    });
}

void WaveOperations::entryGone(const EntryLife &life, const std::string &saidBy,
                               EntryCompletion completion)
{
    m_store.get(entryKey(life.entry), [this, life, saidBy, completion = std::move(completion)](
                                              Result<std::optional<store::StoreItem>> found) {
        if (!found) {
            return completion(found.error());
        }
        if (!found.value()) {
            return completion(
                    failure(ErrorKind::NotFound,
                            fmt::format("no entry {} was ever recorded", life.entry.value()),
                            "correct the name; wave status names those it waits for"));
        }
        auto record = readEntryRecord(found.value()->value);
        if (!record || record.value().presence != EntryPresence::Present) {
            return completion(std::move(record));
        }
        if (record.value().incarnation > life.incarnation) {
            return completion(failure(ErrorKind::Conflict,
                                      fmt::format("{} was started again", life.entry.value()),
                                      "stop its process, or repeat the command when it is silent"));
        }
        record.value().presence = EntryPresence::Gone;
        record.value().saidBy = saidBy;
        record.value().since = recordNow();
        m_store.compareAndSwap(
                {entryKey(life.entry), writeRecord(record.value()), found.value()->revision, ""},
                [record = record.value(), completion](Result<store::StoreRevision> written) {
                    if (!written) {
                        return completion(written.error());
                    }
                    logEvent(entrySaidGone, "{} by {}", record.entry.value(), record.saidBy);
                    completion(record);
                });
    });
}

void WaveOperations::status(const WaveId &wave, StatusCompletion completion) const
{
    m_store.list(recordPrefix, [this, wave, completion = std::move(completion)](
                                       const Result<store::StoreListing> &listing) {
        if (!listing) {
            return completion(listing.error());
        }
        MaintenanceRecords records;
        records.take(listing.value());
        completion(statusOf(records, wave));
    });
}

std::vector<WaveStatus> WaveOperations::statusOf(const MaintenanceRecords &records,
                                                 const WaveId &wave) const
{
    const auto document = fleet();
    std::vector<WaveStatus> statuses;
    for (const auto &[id, record] : records.waves()) {
        if (!wave.empty() && id != wave) {
            continue;
        }
        WaveView view;
        view.wave = record;
        view.hosts = records.hosts(id);
        if (document) {
            view.budgets = budgetsOf(*document, record.record.settings);
        }
        auto status = statusOfView(view);
        for (const auto &[dataCentre, wait] : records.waits()) {
            if (!wait.entries.empty() && record.record.state != WaveState::Done) {
                status.waits.push_back(wait);
            }
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace cyclamenlatch::maintenance
