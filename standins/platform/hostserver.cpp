// Answers the hosts' part of the platform's protocol and tells minions to go down and come back.
#include "standins/platform/hostserver.h"

#include "standins/jsonreply.h"
#include "standins/queryfields.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace cyclamenlatch::standins {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::string_view hostsPath = "/v1/hosts";
constexpr std::string_view controlPath = "/control/hosts";
constexpr std::string_view rebootSuffix = "/reboot";

json hostsJson(const std::vector<Host> &hosts)
{
    json values = json::array();
    for (const auto &host : hosts) {
        values.push_back({{"name", host.name},
                          {"live", host.live},
                          {"finishedReboot", host.finishedAttempt},
                          {"reboots", host.reboots},
                          {"replacements", host.replacements}});
    }
    return {{"hosts", std::move(values)}};
}

} // namespace

HostServer::HostServer(asio::io_context &context)
    : m_timer(context)
{
    tick();
}

bool HostServer::handles(const std::string &path)
{
    return path.starts_with(hostsPath) || path == controlPath;
}

net::HttpReply HostServer::answer(const net::HttpRequest &request)
{
    if (request.path == controlPath) {
        return answerControl(request);
    }
    if (request.path == hostsPath) {
        const std::lock_guard lock(m_mutex);
        return jsonReply(200, hostsJson(m_model.published()));
    }
    if (request.method == "POST" && request.path.ends_with(rebootSuffix)) {
        return answerReboot(request);
    }
    return jsonReply(404, {{"error", "no such address"}});
}

net::HttpReply HostServer::answerReboot(const net::HttpRequest &request)
{
    const auto start = hostsPath.size() + 1;
    const auto name = request.path.substr(start, request.path.size() - start - rebootSuffix.size());
    std::string minion;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_model.contains(name)) {
            return jsonReply(404, {{"error", "no such host"}});
        }
        if (m_model.reboot(name, queryText(request.query, "attempt"), steadyNow())) {
            minion = m_model.host(name).minion;
        }
    }
    if (!minion.empty()) {
        setDown(minion, true);
    }
    return jsonReply(200, json::object());
}

net::HttpReply HostServer::answerControl(const net::HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    if (request.method == "POST") {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return jsonReply(400, {{"error", "send a JSON object"}});
        }
        for (const auto &host : body.value("hosts", json::array())) {
            m_model.setHost(host.value("name", ""), host.value("minion", ""));
        }
        for (const auto &name : body.value("replace", json::array())) {
            m_model.replaceHost(name.get<std::string>());
        }
        for (const auto &name : body.value("neverBack", json::array())) {
            m_model.setNeverBack(name.get<std::string>());
        }
        if (body.contains("rebootMs")) {
            m_model.setRebootTime(std::chrono::milliseconds(body.value("rebootMs", 0)));
        }
        if (body.contains("lagMs")) {
            m_model.setLag(std::chrono::milliseconds(body.value("lagMs", 0)));
        }
    }
    return jsonReply(200, hostsJson(m_model.current()));
}

void HostServer::setDown(const std::string &minion, bool down)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = minion + "/control";
    call.body = json{{"down", down}}.dump();
    m_http.send(std::move(call), [](const net::HttpCallResult &) {});
}

void HostServer::tick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        std::vector<std::string> minions;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &name : m_model.advance(steadyNow())) {
                minions.push_back(m_model.host(name).minion);
            }
        }
        for (const auto &minion : minions) {
            setDown(minion, false);
        }
        tick();
    });
}

} // namespace cyclamenlatch::standins
