// Writes and reads the records of waves as JSON.
#include "maintenance/recordjson.h"

#include <nlohmann/json.hpp>

namespace cyclamenlatch::maintenance {

namespace {

using nlohmann::json;

boost::outcome_v2::failure_type<Error> malformed(const std::string &what)
{
    return failure(ErrorKind::Internal, "a maintenance record is malformed: " + what,
                   "look at who else writes below " + std::string(recordPrefix));
}

json settingsJson(const WaveSettings &settings)
{
    return {{"perRack", settings.perRack},
            {"reserve", settings.reserve},
            {"rebootDeadlineMs", settings.rebootDeadline.count()},
            {"slowStartMs", settings.slowStart.count()},
            {"failuresToPause", settings.failuresToPause},
            {"failureWindowMs", settings.failureWindow.count()},
            {"rollOutWeight", settings.rollOutWeight},
            {"movesWeight", settings.movesWeight}};
}

WaveSettings readSettings(const json &value)
{
    WaveSettings settings;
    settings.perRack = value.at("perRack");
    settings.reserve = value.at("reserve");
    settings.rebootDeadline = std::chrono::milliseconds(value.at("rebootDeadlineMs"));
    settings.slowStart = std::chrono::milliseconds(value.at("slowStartMs"));
    settings.failuresToPause = value.at("failuresToPause");
    settings.failureWindow = std::chrono::milliseconds(value.at("failureWindowMs"));
    settings.rollOutWeight = value.at("rollOutWeight");
    settings.movesWeight = value.at("movesWeight");
    return settings;
}

template<typename Enum, std::size_t Size>
Enum readName(const NameTable<Enum, Size> &names, const json &value)
{
    const auto found = names.value(value.get<std::string>());
    if (!found) {
        throw json::other_error::create(501, "unknown name " + value.dump(), &value);
    }
    return *found;
}

template<typename Read>
auto parse(const std::string &text, Read read) -> Result<decltype(read(json()))>
{
    try {
        return read(json::parse(text));
    } catch (const json::exception &error) {
        return malformed(error.what());
    }
}

} // namespace

std::string waveKey(const WaveId &wave)
{
    return wavePrefix + wave.value();
}

std::string hostKey(const WaveId &wave, const WorkerId &worker)
{
    return hostPrefix + wave.value() + "/" + worker.value();
}

std::string ledgerKey(const std::string &budget)
{
    return ledgerPrefix + budget;
}

std::string entryKey(const EntryId &entry)
{
    return entryPrefix + entry.value();
}

std::string waitKey(const DataCentreId &dataCentre)
{
    return waitPrefix + dataCentre.value();
}

std::string writeRecord(const EntryRecord &record)
{
    return json{{"entry", record.entry.value()},
                {"dataCentre", record.dataCentre.value()},
                {"incarnation", record.incarnation},
                {"presence", entryPresenceNames.name(record.presence)},
                {"since", record.since},
                {"saidBy", record.saidBy}}
            .dump();
}

std::string writeRecord(const WaitRecord &record)
{
    json entries = json::array();
    for (const auto &entry : record.entries) {
        entries.push_back(entry.value());
    }
    return json{{"dataCentre", record.dataCentre.value()},
                {"entries", std::move(entries)},
                {"since", record.since}}
            .dump();
}

std::string writeRecord(const WaveRecord &record)
{
    json hosts = json::array();
    for (const auto &host : record.hosts) {
        hosts.push_back(host.value());
    }
    return json{{"wave", record.wave.value()},
                {"selector", record.selector},
                {"state", waveStateNames.name(record.state)},
                {"reason", record.reason},
                {"started", record.started},
                {"resumed", record.resumed},
                {"finished", record.finished},
                {"settings", settingsJson(record.settings)},
                {"hosts", std::move(hosts)}}
            .dump();
}

std::string writeRecord(const HostRecord &record)
{
    return json{{"wave", record.wave.value()},
                {"worker", record.worker.value()},
                {"dataCentre", record.dataCentre.value()},
                {"step", hostStepNames.name(record.step)},
                {"since", record.since},
                {"started", record.started},
                {"waveStarted", record.waveStarted},
                {"note", record.note}}
            .dump();
}

std::string writeRecord(const LedgerRecord &record)
{
    json claims = json::array();
    for (const auto &claim : record.claims) {
        claims.push_back({{"worker", claim.worker.value()}, {"wave", claim.wave.value()}});
    }
    json outages = json::array();
    for (const auto &outage : record.outages) {
        outages.push_back({{"worker", outage.worker.value()},
                           {"dataCentre", outage.dataCentre.value()},
                           {"since", outage.since}});
    }
    return json{{"claims", std::move(claims)}, {"outages", std::move(outages)}}.dump();
}

Result<WaveRecord> readWaveRecord(const std::string &text)
{
    return parse(text, [](const json &value) {
        WaveRecord record;
        record.wave = WaveId(value.at("wave"));
        record.selector = value.at("selector");
        record.state = readName(waveStateNames, value.at("state"));
        record.reason = value.at("reason");
        record.started = value.at("started");
        record.resumed = value.at("resumed");
        record.finished = value.at("finished");
        record.settings = readSettings(value.at("settings"));
        for (const auto &host : value.at("hosts")) {
            record.hosts.emplace_back(host.get<std::string>());
        }
        return record;
    });
}

Result<HostRecord> readHostRecord(const std::string &text)
{
    return parse(text, [](const json &value) {
        HostRecord record;
        record.wave = WaveId(value.at("wave"));
        record.worker = WorkerId(value.at("worker"));
        record.dataCentre = DataCentreId(value.at("dataCentre"));
        record.step = readName(hostStepNames, value.at("step"));
        record.since = value.at("since");
        record.started = value.at("started");
        record.waveStarted = value.value("waveStarted", RecordTime{0});
        record.note = value.at("note");
        return record;
    });
}

Result<LedgerRecord> readLedgerRecord(const std::string &text)
{
    return parse(text, [](const json &value) {
        LedgerRecord record;
        for (const auto &claim : value.at("claims")) {
            record.claims.push_back({WorkerId(claim.at("worker")), WaveId(claim.at("wave"))});
        }
        for (const auto &outage : value.at("outages")) {
            record.outages.push_back({WorkerId(outage.at("worker")),
                                      DataCentreId(outage.at("dataCentre")), outage.at("since")});
        }
        return record;
    });
}

Result<EntryRecord> readEntryRecord(const std::string &text)
{
    return parse(text, [](const json &value) {
        EntryRecord record;
        record.entry = EntryId(value.at("entry"));
        record.dataCentre = DataCentreId(value.at("dataCentre"));
        record.incarnation = value.at("incarnation");
        record.presence = readName(entryPresenceNames, value.at("presence"));
        record.since = value.at("since");
        record.saidBy = value.at("saidBy");
        return record;
    });
}

Result<WaitRecord> readWaitRecord(const std::string &text)
{
    return parse(text, [](const json &value) {
        WaitRecord record;
        record.dataCentre = DataCentreId(value.at("dataCentre"));
        for (const auto &entry : value.at("entries")) {
            record.entries.emplace_back(entry.get<std::string>());
        }
        record.since = value.at("since");
        return record;
    });
}

} // namespace cyclamenlatch::maintenance
