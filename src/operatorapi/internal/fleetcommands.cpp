// Carries out operators' commands on the fleet document.
#include "operatorapi/fleetcommands.h"

#include "admission/keysecret.h"
#include "fleet/fleetdiff.h"
#include "fleet/fleetyaml.h"
#include "store/attempt.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cyclamenlatch::operatorapi {

namespace {

using nlohmann::json;
using store::StoreRevision;

// Time that an answer waits for the entries' acknowledgements.
constexpr std::chrono::milliseconds inForcePatience{5000};
constexpr std::chrono::milliseconds withdrawalPatience{3000};

json reportJson(const configuration::SpreadReport &report)
{
    json dataCentres = json::array();
    for (const auto &spread : report.dataCentres) {
        json pending = json::array();
        for (const auto &entry : spread.pending) {
            pending.push_back(entry.value());
        }
        dataCentres.push_back({{"dataCentre", spread.dataCentre.value()},
                               {"entries", spread.entries},
                               {"inForce", spread.entries - spread.pending.size()},
                               {"pending", std::move(pending)}});
    }
    return {{"inForce", report.inForce()},
            {"entries", report.entries()},
            {"everywhere", report.isEverywhere()},
            {"dataCentres", std::move(dataCentres)}};
}

json changesJson(const std::vector<fleet::FleetChange> &changes)
{
    json list = json::array();
    for (const auto &change : changes) {
        list.push_back({{"kind", fleet::changeKindNames.name(change.kind)},
                        {"section", change.section},
                        {"name", change.name},
                        {"before", change.before},
                        {"after", change.after}});
    }
    return list;
}

json mistakesJson(const std::vector<fleet::Mistake> &mistakes)
{
    json list = json::array();
    for (const auto &mistake : mistakes) {
        list.push_back(
                {{"line", mistake.line}, {"message", mistake.message}, {"remedy", mistake.remedy}});
    }
    return list;
}

net::HttpReply mistakesReply(const std::vector<fleet::Mistake> &mistakes)
{
    return jsonReply(400, {{"error", "invalid-input"},
                           {"message", "the fleet document has mistakes; nothing was accepted"},
                           {"remedy", "correct the mistakes and apply it again"},
                           {"mistakes", mistakesJson(mistakes)}});
}

// Reads "from=<revision>" of the query.
std::optional<StoreRevision> fromRevision(std::string_view query)
{
    constexpr std::string_view field = "from=";
    const auto at = query.find(field);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto text = query.substr(at + field.size());
    StoreRevision revision = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
    return parsed.ec == std::errc() ? std::optional(revision) : std::nullopt;
}

boost::outcome_v2::failure_type<Error> notFound(const std::string &kind, const std::string &name)
{
    return failure(ErrorKind::NotFound, fmt::format("there is no {} \"{}\"", kind, name),
                   fmt::format("see the names with \"{} list\" or \"get\"", kind));
}

} // namespace

void FleetCommands::addRoutes(OperatorApi &api)
{
    api.addRoute("GET", "/v1/fleet", Role::Read,
                 [this](const OperatorRequest &, const net::HttpResponder &respond) {
                     getFleet(respond);
                 });
    api.addRoute("PUT", "/v1/fleet", Role::Operate,
                 [this](const OperatorRequest &request, const net::HttpResponder &respond) {
                     putFleet(request, respond);
                 });
    api.addRoute("POST", "/v1/fleet/diff", Role::Read,
                 [this](const OperatorRequest &request, const net::HttpResponder &respond) {
                     diffFleet(request, respond);
                 });
    api.addRoute("POST", "/v1/keys", Role::Operate,
                 [this](const OperatorRequest &request, const net::HttpResponder &respond) {
                     giveKey(request, respond);
                 });
    api.addRoute("DELETE", "/v1/keys", Role::Operate,
                 [this](const OperatorRequest &request, const net::HttpResponder &respond) {
                     withdrawKey(request, respond);
                 });
    api.addRoute("POST", "/v1/workers", Role::Operate,
                 [this](const OperatorRequest &request, const net::HttpResponder &respond) {
                     labelWorker(request, respond);
                 });
    api.addRoute("GET", "/v1/workspaces", Role::Read,
                 [this](const OperatorRequest &, const net::HttpResponder &respond) {
                     listWorkspaces(respond);
                 });
    api.addRoute("GET", "/v1/status", Role::Read,
                 [this](const OperatorRequest &, const net::HttpResponder &respond) {
                     showStatus(respond);
                 });
}

void FleetCommands::getFleet(const net::HttpResponder &respond) const
{
    const auto current = m_configuration.current();
    const auto yaml = current.fleet ? fleet::writeFleet(*current.fleet) : std::string();
    respond(jsonReply(200, {{"revision", current.revision}, {"document", yaml}}));
}

void FleetCommands::putFleet(const OperatorRequest &request, const net::HttpResponder &respond)
{
    const auto from = fromRevision(request.http.query);
    if (!from) {
        return respond(errorReply({ErrorKind::InvalidInput, "the change names no revision",
                                   "send ?from=R with the revision that the document was made "
                                   "from; 0 for the first document"}));
    }
    const auto reading = fleet::readFleet(request.http.body);
    if (!reading.mistakes.empty()) {
        return respond(mistakesReply(reading.mistakes));
    }
    const auto current = m_configuration.current();
    for (const auto &key : reading.document.keys) {
        const bool isNew = !current.fleet || current.fleet->findKey(key.id) == nullptr;
        if (isNew && m_configuration.isWithdrawn(key.id)) {
            return respond(errorReply(
                    {ErrorKind::InvalidInput,
                     fmt::format("the key \"{}\" was withdrawn for good", key.id.value()),
                     "give a key with another name"}));
        }
    }
    apply(reading.document, *from, {{"notices", mistakesJson(reading.notices)}}, respond);
}

void FleetCommands::diffFleet(const OperatorRequest &request,
                              const net::HttpResponder &respond) const
{
    const auto reading = fleet::readFleet(request.http.body);
    if (!reading.mistakes.empty()) {
        return respond(mistakesReply(reading.mistakes));
    }
    const auto current = m_configuration.current();
    const auto changes = fleet::diffFleets(current.fleet ? *current.fleet : fleet::FleetDocument{},
                                           reading.document);
    respond(jsonReply(200, {{"revision", current.revision},
                            {"changes", changesJson(changes)},
                            {"notices", mistakesJson(reading.notices)}}));
}

void FleetCommands::apply(const fleet::FleetDocument &document, StoreRevision from,
                          const json &extra, const net::HttpResponder &respond)
{
    m_configuration.apply(
            document, from, [this, from, extra, respond](const Result<StoreRevision> &applied) {
                if (!applied) {
                    if (applied.error().kind == ErrorKind::Conflict) {
                        return respond(jsonReply(409, conflictBody(from, applied.error())));
                    }
                    return respond(errorReply(applied.error()));
                }
                const auto revision = applied.value();
                m_configuration.whenInForce(
                        revision, inForcePatience,
                        [extra, respond, revision](const configuration::SpreadReport &report) {
                            auto body = extra;
                            body["accepted"] = true;
                            body["revision"] = revision;
                            body["spread"] = reportJson(report);
                            respond(jsonReply(200, body));
                        });
            });
}

json FleetCommands::conflictBody(StoreRevision from, const Error &error) const
{
    const auto current = m_configuration.current();
    json body{{"error", "conflict"},
              {"message", fmt::format("the fleet document is no longer at revision {}: {}", from,
                                      error.message)},
              {"remedy", "get the present document, repeat the change on it and apply it"},
              {"revision", current.revision}};
    const auto base = m_configuration.findRevision(from);
    if (base && current.fleet) {
        body["changes"] = changesJson(fleet::diffFleets(*base, *current.fleet));
    }
    return body;
}

void FleetCommands::edit(const Edit &change, const json &extra, const net::HttpResponder &respond)
{
    const auto current = m_configuration.current();
    if (!current.fleet) {
        return respond(errorReply({ErrorKind::Unavailable, m_configuration.unreadyReason(),
                                   "ask another entry, or apply a fleet document"}));
    }
    auto document = *current.fleet;
    const auto changed = change(document);
    if (!changed) {
        return respond(errorReply(changed.error()));
    }
    const auto mistakes = fleet::readFleet(fleet::writeFleet(document)).mistakes;
    if (!mistakes.empty()) {
        return respond(mistakesReply(mistakes));
    }
    apply(document, current.revision, extra, respond);
}

void FleetCommands::giveKey(const OperatorRequest &request, const net::HttpResponder &respond)
{
    const auto body = json::parse(request.http.body, nullptr, false);
    if (!body.is_object() || !body.contains("workspace") || !body.contains("name")
        || !body["workspace"].is_string() || !body["name"].is_string()) {
        return respond(errorReply({ErrorKind::InvalidInput, "the workspace or the name is missing",
                                   "send {\"workspace\": ..., \"name\": ...}"}));
    }
    const WorkspaceId workspace(body["workspace"].get<std::string>());
    const KeyId id(body["name"].get<std::string>());
    const auto secret = store::makeAttemptId();
    const Edit add = [&](fleet::FleetDocument &document) -> Result<void> {
        if (document.findWorkspace(workspace) == nullptr) {
            return notFound("workspace", workspace.value());
        }
        if (id.empty() || id.value().find('.') != std::string::npos
            || document.findKey(id) != nullptr || m_configuration.isWithdrawn(id)) {
            return failure(
                    ErrorKind::InvalidInput,
                    fmt::format("the name \"{}\" is or was a key's, or has a dot", id.value()),
                    "choose a name that was never used, without a dot");
        }
        document.keys.push_back({id, workspace, admission::hashSecret(secret)});
        return success();
    };
    edit(add, {{"key", id.value() + "." + secret}, {"workspace", workspace.value()}}, respond);
}

void FleetCommands::withdrawKey(const OperatorRequest &request, const net::HttpResponder &respond)
{
    const KeyId id(request.rest);
    const auto current = m_configuration.current();
    const bool isKnown = current.fleet && current.fleet->findKey(id) != nullptr;
    if (!isKnown && !m_configuration.isWithdrawn(id)) {
        return respond(errorReply(Result<void>(notFound("key", id.value())).error()));
    }
    m_configuration.withdraw(id, [](const Result<void> &) {});
    m_configuration.whenWithdrawnEverywhere(
            withdrawalPatience, [this, id, respond](const configuration::SpreadReport &report) {
                const bool durable = m_configuration.isDurable(id);
                respond(jsonReply(
                        200, {{"withdrawn", id.value()},
                              {"durable", durable},
                              {"message", fmt::format("in force on {} of {}, {}", report.inForce(),
                                                      report.entries(),
                                                      durable ? "durable" : "not yet durable")},
                              {"spread", reportJson(report)}}));
            });
}

void FleetCommands::labelWorker(const OperatorRequest &request, const net::HttpResponder &respond)
{
    const auto body = json::parse(request.http.body, nullptr, false);
    const WorkerId id(request.rest);
    if (!body.is_object()) {
        return respond(errorReply({ErrorKind::InvalidInput, "the change is not a JSON object",
                                   "send {\"labels\": {label: value or null}}"}));
    }
    const auto labels = body.value("labels", json::object());
    const Edit change = [&](fleet::FleetDocument &document) -> Result<void> {
        const auto worker = std::find_if(document.workers.begin(), document.workers.end(),
                                         [&id](const auto &item) { return item.id == id; });
        if (worker == document.workers.end()) {
            return notFound("worker", id.value());
        }
        for (const auto &[label, value] : labels.items()) {
            if (value.is_null()) {
                worker->labels.erase(label);
            } else if (value.is_string()) {
                worker->labels[label] = value.get<std::string>();
            }
        }
        return success();
    };
    edit(change, {{"worker", id.value()}}, respond);
}

void FleetCommands::listWorkspaces(const net::HttpResponder &respond) const
{
    json list = json::array();
    const auto current = m_configuration.current();
    const auto fleet = current.fleet ? *current.fleet : fleet::FleetDocument{};
    for (const auto &workspace : fleet.workspaces) {
        json keys = json::array();
        for (const auto &key : fleet.keys) {
            if (key.workspace == workspace.id && !m_configuration.isWithdrawn(key.id)) {
                keys.push_back(key.id.value());
            }
        }
        list.push_back({{"name", workspace.id.value()},
                        {"weight", workspace.weight},
                        {"limit", workspace.limit},
                        {"serveWhenIsolated", workspace.serveWhenIsolated},
                        {"keys", std::move(keys)}});
    }
    respond(jsonReply(200, {{"revision", current.revision}, {"workspaces", std::move(list)}}));
}

void FleetCommands::showStatus(const net::HttpResponder &respond) const
{
    const auto current = m_configuration.current();
    const auto now = steadyNow();
    const auto evidenceAt = m_configuration.evidenceAt();
    json status{{"revision", current.revision},
                {"spread", reportJson(m_configuration.reportRevision(current.revision))},
                {"withdrawnKeys", reportJson(m_configuration.reportWithdrawn())},
                {"relay", m_configuration.isRelay()},
                {"keyedWorkAdmitted", now < evidenceAt + configuration::freshnessBound}};
    if (!current.fleet) {
        status["unready"] = m_configuration.unreadyReason();
    }
    respond(jsonReply(200, status));
}

} // namespace cyclamenlatch::operatorapi
