// Answers the platform's task protocol (docs/platform-protocol.md) from the state machine.
#include "standins/platform/taskserver.h"

#include "standins/jsonreply.h"
#include "standins/queryfields.h"
#include "store/base64.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace cyclamenlatch::standins {

namespace {

using nlohmann::json;

constexpr std::string_view taskPrefix = "/v1/tasks/";

json statusJson(const store::TaskStatus &status)
{
    return {{"id", status.id},
            {"worker", status.worker.value()},
            {"state", store::taskStateNames.name(status.state)},
            {"throttled", status.throttled},
            {"ended", status.ended},
            {"checkpoint", store::toBase64(status.checkpoint)},
            {"failure", status.failure},
            {"usedProcessors", status.usedProcessors},
            {"usedMemoryMib", status.usedMemoryMib},
            {"revision", status.revision}};
}

net::HttpReply listingReply(const store::TaskListing &listing)
{
    json tasks = json::array();
    for (const auto &task : listing.tasks) {
        tasks.push_back(statusJson(task));
    }
    json draining = json::array();
    for (const auto &worker : listing.draining) {
        draining.push_back(worker.value());
    }
    return jsonReply(200, {{"revision", listing.revision},
                           {"tasks", std::move(tasks)},
                           {"draining", std::move(draining)}});
}

store::TaskStart readStart(const std::string &id, const json &body)
{
    store::TaskStart start;
    start.id = id;
    start.worker = WorkerId(body.value("worker", ""));
    start.lease = std::chrono::milliseconds(body.value("leaseMs", 0));
    start.processors = body.value("processors", 0.0);
    start.memoryMib = body.value("memoryMib", 0.0);
    start.accelerators = body.value("accelerators", 0U);
    start.checkpoint = store::fromBase64(body.value("checkpoint", "")).value_or("");
    start.body = store::fromBase64(body.value("body", "")).value_or("");
    return start;
}

std::set<WorkerId> readWorkers(const json &body, const char *field,
                               const std::set<WorkerId> &fallback)
{
    if (!body.contains(field)) {
        return fallback;
    }
    std::set<WorkerId> workers;
    for (const auto &worker : body.at(field)) {
        workers.emplace(worker.get<std::string>());
    }
    return workers;
}

} // namespace

bool TaskServer::handle(const net::HttpRequest &request, net::HttpResponder &respond)
{
    if (request.path == "/task-control") {
        respond(answerControl(request));
        return true;
    }
    if (request.path != "/v1/tasks" && !request.path.starts_with(taskPrefix)) {
        return false;
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        if (m_outage) {
            respond(jsonReply(503, {{"error", "outage"}}));
            return true;
        }
    }
    if (request.method == "GET") {
        startChanges(request, std::move(respond));
    } else {
        respond(answer(request));
    }
    tick();
    return true;
}

net::HttpReply TaskServer::answer(const net::HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto body = json::parse(request.body, nullptr, false);
    const auto now = steadyNow();
    m_tasks.advance(now);
    if (request.method == "PUT" && body.is_object()) {
        m_tasks.start(readStart(request.path.substr(taskPrefix.size()), body), now);
    } else if (const auto command =
                       store::taskCommandNames.value(queryText(request.query, "command"));
               command && body.is_array()) {
        m_tasks.command(*command, body.get<std::vector<std::string>>(), now);
    } else {
        return jsonReply(400, {{"error", "no such call"}});
    }
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        return jsonReply(500, {{"error", "the answer was lost"}});
    }
    return jsonReply(200, json::object());
}

net::HttpReply TaskServer::answerControl(const net::HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    if (request.method == "POST") {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return jsonReply(400, {{"error", "send a JSON object"}});
        }
        auto faults = m_tasks.faults();
        faults.draining = readWorkers(body, "draining", faults.draining);
        faults.failing = readWorkers(body, "failing", faults.failing);
        faults.cut = readWorkers(body, "cut", faults.cut);
        m_tasks.setFaults(std::move(faults));
        m_outage = body.value("outage", m_outage);
        m_loseAnswers = body.value("loseAnswers", m_loseAnswers);
    }
    json jobs = json::object();
    for (const auto &[job, ledger] : m_tasks.ledger()) {
        jobs[job] = {{"starts", ledger.starts},
                     {"completions", ledger.completions},
                     {"mostAtOnce", ledger.mostAtOnce},
                     {"runningNow", ledger.runningNow}};
    }
    return jsonReply(200, {{"calls", m_calls}, {"jobs", std::move(jobs)}});
}

void TaskServer::startChanges(const net::HttpRequest &request, net::HttpResponder respond)
{
    const std::lock_guard lock(m_mutex);
    const std::chrono::milliseconds wait(queryNumber(request.query, "waitMs"));
    m_pending.push_back(
            {queryNumber(request.query, "after"), steadyNow() + wait, std::move(respond)});
}

void TaskServer::tick()
{
    std::vector<std::pair<net::HttpReply, net::HttpResponder>> due;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = steadyNow();
        m_tasks.advance(now);
        for (auto pending = m_pending.begin(); pending != m_pending.end();) {
            const auto listing = m_tasks.changes(pending->after);
            if (m_outage) {
                due.emplace_back(jsonReply(503, {{"error", "outage"}}),
                                 std::move(pending->respond));
            } else if (listing.revision > pending->after || pending->expiry <= now) {
                due.emplace_back(listingReply(listing), std::move(pending->respond));
            } else {
                ++pending;
                continue;
            }
            pending = m_pending.erase(pending);
        }
    }
    for (auto &[reply, respond] : due) {
        respond(std::move(reply));
    }
}

} // namespace cyclamenlatch::standins
