// Reads operators' requests about waves and writes the answers as JSON.
#include "app/internal/waveroutes.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace cyclamenlatch::app::detail {

namespace {

using maintenance::WaveRecord;
using maintenance::WaveSettings;
using maintenance::WaveStatus;
using nlohmann::json;
using operatorapi::OperatorRequest;

struct WaveCommand
{
    WaveId wave;
    std::string selector;
    WaveSettings settings;
};

Result<WaveCommand> readCommand(const std::string &body)
{
    try {
        const auto value = json::parse(body);
        WaveCommand command;
        command.wave = WaveId(value.at("wave").get<std::string>());
        command.selector = value.value("selector", std::string());
        auto &settings = command.settings;
        settings.perRack = value.value("perRack", settings.perRack);
        settings.reserve = value.value("reserve", settings.reserve);
        settings.rebootDeadline = std::chrono::milliseconds(
                value.value("rebootDeadlineMs", settings.rebootDeadline.count()));
        settings.slowStart =
                std::chrono::milliseconds(value.value("slowStartMs", settings.slowStart.count()));
        settings.failuresToPause = value.value("failuresToPause", settings.failuresToPause);
        settings.failureWindow = std::chrono::milliseconds(
                value.value("failureWindowMs", settings.failureWindow.count()));
        settings.rollOutWeight = value.value("rollOutWeight", settings.rollOutWeight);
        settings.movesWeight = value.value("movesWeight", settings.movesWeight);
        const auto &name = command.wave.value();
        if (name.empty() || name.find_first_of("/?&#% ") != std::string::npos) {
            return failure(ErrorKind::InvalidInput, "the wave's name is empty or has signs in it",
                           "use letters, digits, dots and dashes");
        }
        return command;
    } catch (const json::exception &error) {
        return failure(ErrorKind::InvalidInput,
                       fmt::format("the command can't be read: {}", error.what()),
                       "send a JSON object with \"wave\" and, to start, \"selector\"");
    }
}

json hostsJson(const std::vector<maintenance::HostRecord> &hosts)
{
    json values = json::array();
    for (const auto &host : hosts) {
        values.push_back({{"worker", host.worker.value()},
                          {"step", maintenance::hostStepNames.name(host.step)},
                          {"since", host.since},
                          {"note", host.note}});
    }
    return values;
}

json waveJson(const WaveRecord &wave)
{
    return {{"wave", wave.wave.value()},
            {"selector", wave.selector},
            {"state", maintenance::waveStateNames.name(wave.state)},
            {"reason", wave.reason},
            {"started", wave.started},
            {"finished", wave.finished}};
}

json statusJson(const WaveStatus &status)
{
    auto value = waveJson(status.wave);
    value["hosts"] = status.progress.hosts;
    value["pending"] = status.progress.pending;
    value["underWay"] = status.progress.underWay;
    value["done"] = status.progress.done;
    value["setAside"] = status.progress.setAside;
    value["perHostMs"] = status.progress.perHost.count();
    value["remainingMs"] = status.progress.remaining.count();
    value["now"] = hostsJson(status.underWay);
    json waits = json::array();
    for (const auto &wait : status.waits) {
        for (const auto &entry : wait.entries) {
            waits.push_back({{"entry", entry.value()}, {"dataCentre", wait.dataCentre.value()}});
        }
    }
    value["waitsFor"] = std::move(waits);
    return value;
}

json planJson(const WaveStatus &status)
{
    auto value = statusJson(status);
    json order = json::array();
    for (const auto &host : status.wave.hosts) {
        order.push_back(host.value());
    }
    value["state"] = "planned";
    value["order"] = std::move(order);
    return value;
}

auto answerWave(net::HttpResponder respond)
{
    return [respond = std::move(respond)](const Result<WaveRecord> &wave) {
        respond(wave ? operatorapi::jsonReply(200, waveJson(wave.value()))
                     : operatorapi::errorReply(wave.error()));
    };
}

void answerStatus(const maintenance::WaveOperations &waves, const WaveId &wave,
                  net::HttpResponder respond)
{
    waves.status(wave,
                 [respond = std::move(respond)](const Result<std::vector<WaveStatus>> &statuses) {
                     if (!statuses) {
                         return respond(operatorapi::errorReply(statuses.error()));
                     }
                     json values = json::array();
                     for (const auto &status : statuses.value()) {
                         values.push_back(statusJson(status));
                     }
                     respond(operatorapi::jsonReply(200, {{"waves", std::move(values)}}));
                 });
}

// Calls the action with the command that the body holds.
template<typename Action>
operatorapi::OperatorHandler withCommand(Action action)
{
    return [action](const OperatorRequest &request, const net::HttpResponder &respond) {
        auto command = readCommand(request.http.body);
        if (!command) {
            return respond(operatorapi::errorReply(command.error()));
        }
        action(command.value(), request, respond);
    };
}

} // namespace

void addWaveRoutes(operatorapi::OperatorApi &api, maintenance::WaveOperations &waves)
{
    using operatorapi::Role;
    api.addRoute("GET", "/v1/waves", Role::Read,
                 [&waves](const OperatorRequest &request, const net::HttpResponder &respond) {
                     auto name = request.rest;
                     name.erase(0, name.find_first_not_of('/'));
                     answerStatus(waves, WaveId(name), respond);
                 });
    api.addRoute("POST", "/v1/waves/plan", Role::Read,
                 withCommand([&waves](const WaveCommand &command, const OperatorRequest &,
                                      const net::HttpResponder &respond) {
                     const auto plan = waves.plan(command.wave, command.selector, command.settings);
                     respond(plan ? operatorapi::jsonReply(200, planJson(plan.value()))
                                  : operatorapi::errorReply(plan.error()));
                 }));
    api.addRoute("POST", "/v1/waves/start", Role::Operate,
                 withCommand([&waves](const WaveCommand &command, const OperatorRequest &,
                                      const net::HttpResponder &respond) {
                     waves.start(command.wave, command.selector, command.settings,
                                 answerWave(respond));
                 }));
    api.addRoute("POST", "/v1/waves/pause", Role::Operate,
                 withCommand([&waves](const WaveCommand &command, const OperatorRequest &request,
                                      const net::HttpResponder &respond) {
                     waves.pause(command.wave, "paused by " + request.operatorName,
                                 answerWave(respond));
                 }));
    api.addRoute("POST", "/v1/waves/resume", Role::Operate,
                 withCommand([&waves](const WaveCommand &command, const OperatorRequest &,
                                      const net::HttpResponder &respond) {
                     waves.resume(command.wave, answerWave(respond));
                 }));
}

} // namespace cyclamenlatch::app::detail
