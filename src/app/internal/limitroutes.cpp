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

net::HttpReply answerGone(quota::QuotaTable &quotas, const OperatorRequest &request)
{
    const auto subject = subjectOf(request.http.body);
    if (!subject) {
        return operatorapi::errorReply(
                {ErrorKind::InvalidInput, "the command can't be read",
                 "send a JSON object with either \"entry\" or \"dataCentre\""});
    }
    Result<quota::GoneNote> note = quota::GoneNote{};
    quotas.update([&](QuotaAgent &agent) { note = agent.takeOperatorsWord(*subject); });
    if (!note) {
        return operatorapi::errorReply(note.error());
    }
    logEvent(operatorsWord, "{} says it of {}", request.operatorName, request.http.body);
    return operatorapi::jsonReply(
            200, {{"holders", note.value().holders}, {"recorded", note.value().recorded}});
}

} // namespace

void addLimitRoutes(operatorapi::OperatorApi &api, quota::QuotaTable &quotas,
                    quota::LimitSurvey &survey, const membership::Membership &membership)
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
                 [&quotas](const OperatorRequest &request, const net::HttpResponder &respond) {
                     respond(answerGone(quotas, request));
                 });
}

} // namespace cyclamenlatch::app::detail
