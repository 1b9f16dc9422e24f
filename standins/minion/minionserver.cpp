// Runs work by waiting, and answers with the work's nonce and workspace.
#include "standins/minion/minionserver.h"

#include "standins/jsonreply.h"
#include "standins/queryfields.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace cyclamenlatch::standins {

namespace {

using nlohmann::json;

} // namespace

MinionServer::MinionServer(asio::io_context &context, std::string name)
    : m_context(context)
    , m_name(std::move(name))
{}

void MinionServer::handle(net::HttpRequest request, net::HttpResponder respond)
{
    if (request.path == "/run" || request.path == "/healthz") {
        noteConnection(request.connection);
    }
    if (request.path == "/run") {
        return run(std::move(request), std::move(respond));
    }
    if (request.path == "/ledger") {
        return respond(answerLedger());
    }
    if (request.path == "/runs") {
        return respond(answerRuns(queryText(request.query, "nonce")));
    }
    if (request.path == "/control") {
        return respond(answerControl(request));
    }
    if (request.path == "/healthz") {
        return respond(answerHealth(request));
    }
    respond(jsonReply(404, {{"error", "no such address"}}));
}

void MinionServer::noteConnection(const std::shared_ptr<net::ConnectionWatch> &connection)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [](const auto &watch) { return watch.expired(); });
    m_connections.insert(connection);
    m_mostConnections = std::max(m_mostConnections, m_connections.size());
}

void MinionServer::run(net::HttpRequest request, net::HttpResponder respond)
{
    const std::string requestId(request.headers.find("Request-Id").value_or(""));
    const std::string workspace(request.headers.find("Workspace").value_or(""));
    const auto body = json::parse(request.body, nullptr, false);
    const auto nonce = body.is_object() ? body.value("nonce", requestId) : requestId;
    const auto workMs = body.is_object() ? body.value("workMs", 0.0) : 0.0;
    MinionFaults faults;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
        m_sentWhileDown += faults.down ? 1 : 0;
        if (!faults.refuse && !faults.down) {
            m_runningIds.insert(requestId);
            ++m_runsByNonce[nonce];
            m_mostRunning = std::max(m_mostRunning, ++m_running);
            auto &ledger = m_workspaces[workspace];
            ++ledger.runs;
            ledger.mostRunning = std::max(ledger.mostRunning, ++ledger.running);
        }
    }
    if (faults.down) {
        return respond(jsonReply(503, {{"error", "down"}}));
    }
    if (faults.refuse) {
        auto reply = jsonReply(503, {{"error", "refused"}});
        reply.headers.add("Request-Id", requestId);
        reply.headers.add("Minion-Started", "no");
        return respond(std::move(reply));
    }
    const auto work = std::chrono::microseconds(
            static_cast<std::int64_t>(faults.failFast ? 0 : workMs * faults.slowdown * 1000));
    if (work.count() == 0) {
        return finish(requestId, workspace, nonce, respond);
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, work);
    timer->async_wait([this, timer, requestId, workspace, nonce,
                       respond = std::move(respond)](const asio::error_code &) {
        finish(requestId, workspace, nonce, respond);
    });
}

void MinionServer::finish(const std::string &requestId, const std::string &workspace,
                          const std::string &nonce, const net::HttpResponder &respond)
{
    MinionFaults faults;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
        m_runningIds.erase(requestId);
        --m_running;
        --m_workspaces[workspace].running;
    }
    auto reply = jsonReply(faults.failFast ? 500 : 200,
                           {{"nonce", nonce}, {"workspace", workspace}, {"minion", m_name}});
    reply.headers.add("Request-Id", faults.crossAnswers ? requestId + "-other" : requestId);
    respond(std::move(reply));
}

net::HttpReply MinionServer::answerHealth(const net::HttpRequest &request)
{
    const std::string requestId(request.headers.find("Request-Id").value_or(""));
    const std::lock_guard lock(m_mutex);
    auto reply = jsonReply(m_faults.down ? 503 : 200, json::object());
    if (!requestId.empty()) {
        reply.headers.add("Minion-Running", m_runningIds.contains(requestId) ? "yes" : "no");
    }
    return reply;
}

net::HttpReply MinionServer::answerRuns(const std::string &nonce)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runsByNonce.find(nonce);
    return jsonReply(200, {{"runs", found == m_runsByNonce.end() ? 0U : found->second}});
}

net::HttpReply MinionServer::answerLedger()
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t runs = 0;
    std::uint64_t duplicates = 0;
    for (const auto &[nonce, count] : m_runsByNonce) {
        runs += count;
        duplicates += count - 1;
    }
    json workspaces = json::object();
    for (const auto &[name, ledger] : m_workspaces) {
        workspaces[name] = {{"runs", ledger.runs},
                            {"running", ledger.running},
                            {"mostRunning", ledger.mostRunning}};
    }
    return jsonReply(200, {{"runs", runs},
                           {"duplicates", duplicates},
                           {"running", m_running},
                           {"mostRunning", m_mostRunning},
                           {"mostConnections", m_mostConnections},
                           {"cut", m_cut},
                           {"sentWhileDown", m_sentWhileDown},
                           {"reboots", m_reboots},
                           {"workspaces", std::move(workspaces)}});
}

net::HttpReply MinionServer::answerControl(const net::HttpRequest &request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return jsonReply(400, {{"error", "send a JSON object"}});
    }
    const std::lock_guard lock(m_mutex);
    m_faults.failFast = body.value("failFast", m_faults.failFast);
    m_faults.refuse = body.value("refuse", m_faults.refuse);
    m_faults.crossAnswers = body.value("crossAnswers", m_faults.crossAnswers);
    const bool down = body.value("down", m_faults.down);
    if (down && !m_faults.down) {
        m_cut += m_running;
        ++m_reboots;
    }
    m_faults.down = down;
    m_faults.slowdown = body.value("slowdown", m_faults.slowdown);
    if (body.value("forgetPeaks", false)) {
        m_mostRunning = m_running;
        m_mostConnections = 0;
    }
    return jsonReply(200, json::object());
}

} // namespace cyclamenlatch::standins
