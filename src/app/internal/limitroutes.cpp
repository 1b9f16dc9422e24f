// Answers what limits are, who holds and uses them, and takes an operator's word on lost entries.
#include "app/internal/limitroutes.h"

#include "app/appevents.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace cyclamenlatch::app::detail {

namespace {

using nlohmann::json;
using operatorapi::OperatorRequest;
using quota::EntryLimits;
using quota::QuotaAgent;

struct DataCentreUse
{
    std::uint64_t held = 0;
    std::uint64_t running = 0;
};

json dataCentresOf(const std::string &workspace, const std::vector<EntryLimits> &entries)
{
    std::map<DataCentreId, DataCentreUse> sums;
    for (const auto &entry : entries) {
        auto &sum = sums[entry.dataCentre];
        for (const auto &use : entry.uses) {
            if (use.workspace == workspace) {
                sum.held += use.held;
                sum.running += use.running;
            }
        }
    }
    json values = json::array();
    for (const auto &[dataCentre, sum] : sums) {
        values.push_back(
                {{"dataCentre", dataCentre.value()}, {"held", sum.held}, {"used", sum.running}});
    }
    return values;
}

json limitJson(const QuotaAgent &agent, const std::string &workspace)
{
    const auto state = agent.limitState(workspace).value_or(quota::LimitState{});
    return {{"workspace", workspace},
            {"limit", state.wanted},
            {"out", state.out},
            {"locked", state.locked},
            {"inForce", state.inForce()}};
}

json limitsJson(const QuotaAgent &agent, const std::vector<EntryLimits> &entries)
{
    json limits = json::array();
    for (const auto &workspace : agent.limitNames()) {
        auto value = limitJson(agent, workspace);
        value["dataCentres"] = dataCentresOf(workspace, entries);
        limits.push_back(std::move(value));
    }
    json silent = json::array();
    for (const auto &entry : entries) {
        if (!entry.answered) {
            silent.push_back(entry.entry.value());
        }
    }
    return {{"limits", std::move(limits)}, {"silent", std::move(silent)}};
}

json entriesJson(const QuotaAgent &agent)
{
    json values = json::array();
    for (const auto &[holder, registered] : agent.registry().holders) {
        const auto state = registered.gone          ? quota::goneProofNames.name(*registered.gone)
                           : agent.isSilent(holder) ? std::string_view("silent")
                                                    : std::string_view("alive");
        values.push_back({{"entry", holder.entry.value()},
                          {"incarnation", holder.incarnation},
                          {"dataCentre", registered.dataCentre.value()},
                          {"address", registered.address},
                          {"state", state}});
    }
    return {{"entries", std::move(values)}};
}

std::optional<quota::GoneSubject> subjectOf(const std::string &text)
{
    const auto body = json::parse(text, nullptr, false);
    const auto field = [&body](const char *name) {
        const bool given = body.is_object() && body.contains(name) && body.at(name).is_string();
        return given ? body.at(name).get<std::string>() : std::string();
    };
    const auto entry = field("entry");
    const auto dataCentre = field("dataCentre");
    if (entry.empty() == dataCentre.empty()) {
        return std::nullopt;
    }
    return entry.empty() ? quota::GoneSubject(DataCentreId(dataCentre))
                         : quota::GoneSubject(EntryId(entry));
}

// The newest registered life of each entry that the word is about.
std::vector<maintenance::EntryLife> livesOf(const QuotaAgent &agent,
                                            const quota::GoneSubject &subject)
{
    std::map<EntryId, std::uint64_t> newest;
    for (const auto &[holder, registered] : agent.registry().holders) {
        const auto *entry = std::get_if<EntryId>(&subject);
        const bool isAbout = entry ? holder.entry == *entry
                                   : registered.dataCentre == std::get<DataCentreId>(subject);
        if (isAbout) {
            auto &incarnation = newest[holder.entry];
            incarnation = std::max(incarnation, holder.incarnation);
        }
    }
    std::vector<maintenance::EntryLife> lives;
    lives.reserve(newest.size());
    for (const auto &[entry, incarnation] : newest) {
        lives.push_back({entry, incarnation});
    }
    return lives;
}

struct GoneWord
{
    std::vector<maintenance::EntryLife> lives;
    std::string saidBy;
    quota::GoneNote note;
};

// Tells the waves of one entry after the other. An entry that they never recorded has taken no
// requests that a wave could wait for.
void tellWaves(FleetKeeping &fleetKeeping, GoneWord word, const net::HttpResponder &respond)
{
    if (word.lives.empty()) {
        return respond(operatorapi::jsonReply(
                200, {{"holders", word.note.holders}, {"recorded", word.note.recorded}}));
    }
    const auto life = word.lives.back();
    word.lives.pop_back();
    const auto saidBy = word.saidBy;
    fleetKeeping.entryGone(life, saidBy,
                           [&fleetKeeping, word = std::move(word),
                            respond](const Result<maintenance::EntryRecord> &told) {
                               if (!told && told.error().kind != ErrorKind::NotFound) {
                                   return respond(operatorapi::errorReply(told.error()));
                               }
                               tellWaves(fleetKeeping, word, respond);
                           });
}

void answerGone(quota::QuotaTable &quotas, FleetKeeping &fleetKeeping,
                const OperatorRequest &request, const net::HttpResponder &respond)
{
    const auto subject = subjectOf(request.http.body);
    if (!subject) {
        return respond(operatorapi::errorReply(
                {ErrorKind::InvalidInput, "the command can't be read",
                 "send a JSON object with either \"entry\" or \"dataCentre\""}));
    }
    Result<quota::GoneNote> note = quota::GoneNote{};
    GoneWord word;
    quotas.update([&](QuotaAgent &agent) {
        note = agent.takeOperatorsWord(*subject);
        word.lives = livesOf(agent, *subject);
    });
    if (!note) {
        return respond(operatorapi::errorReply(note.error()));
    }
    logEvent(operatorsWord, "{} says it of {}", request.operatorName, request.http.body);
    word.saidBy = request.operatorName;
    word.note = note.value();
    tellWaves(fleetKeeping, std::move(word), respond);
}

} // namespace

void addLimitRoutes(operatorapi::OperatorApi &api, quota::QuotaTable &quotas,
                    quota::LimitSurvey &survey, const membership::Membership &membership,
                    FleetKeeping &fleetKeeping)
{
    using operatorapi::Role;
    api.addRoute("GET", "/v1/limits", Role::Read,
                 [&](const OperatorRequest &, const net::HttpResponder &respond) {
                     survey.ask(membership.live(),
                                [&quotas, respond](const std::vector<EntryLimits> &entries) {
                                    respond(operatorapi::jsonReply(
                                            200, quotas.inspect([&](const QuotaAgent &agent) {
                                                return limitsJson(agent, entries);
                                            })));
                                });
                 });
    api.addRoute("GET", "/v1/entries", Role::Read,
                 [&quotas](const OperatorRequest &, const net::HttpResponder &respond) {
                     respond(operatorapi::jsonReply(200, quotas.inspect(&entriesJson)));
                 });
    api.addRoute("POST", "/v1/entries/gone", Role::Operate,
                 [&](const OperatorRequest &request, const net::HttpResponder &respond) {
                     answerGone(quotas, fleetKeeping, request, respond);
                 });
}

} // namespace cyclamenlatch::app::detail
