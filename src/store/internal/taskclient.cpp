// Speaks the platform's task protocol (docs/platform-protocol.md).
#include "store/taskclient.h"

#include "store/base64.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace cyclamenlatch::store {

namespace {

using nlohmann::json;

std::optional<Error> errorOf(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return Error{ErrorKind::Unknown,
                     fmt::format("no answer from the platform's tasks: {}", result.failure),
                     "repeat the call; it is idempotent"};
    }
    if (result.reply->status == 200) {
        return std::nullopt;
    }
    return Error{result.reply->status == 503 ? ErrorKind::Unavailable : ErrorKind::Unknown,
                 fmt::format("the platform's tasks answered with status {}", result.reply->status),
                 "repeat the call after a delay"};
}

TaskStatus readStatus(const json &value)
{
    TaskStatus status;
    status.id = value.at("id").get<std::string>();
    status.worker = WorkerId(value.at("worker").get<std::string>());
    status.state =
            taskStateNames.value(value.at("state").get<std::string>()).value_or(TaskState::Running);
    status.throttled = value.value("throttled", false);
    status.ended = value.value("ended", false);
    status.checkpoint = fromBase64(value.value("checkpoint", std::string())).value_or("");
    status.failure = value.value("failure", std::string());
    status.usedProcessors = value.value("usedProcessors", 0.0);
    status.usedMemoryMib = value.value("usedMemoryMib", 0.0);
    status.revision = value.at("revision").get<TaskRevision>();
    return status;
}

Result<TaskListing> readListing(const std::string &body)
{
    try {
        const auto value = json::parse(body);
        TaskListing listing;
        listing.revision = value.at("revision").get<TaskRevision>();
        for (const auto &task : value.at("tasks")) {
            listing.tasks.push_back(readStatus(task));
        }
        for (const auto &worker : value.at("draining")) {
            listing.draining.emplace_back(worker.get<std::string>());
        }
        return listing;
    } catch (const json::exception &) {
        return failure(ErrorKind::Internal, "the platform's task listing is malformed",
                       "check that the address is the platform's");
    }
}

} // namespace

TaskClient::TaskClient(net::HttpClient &http, std::string url, std::chrono::milliseconds timeout)
    : m_http(http)
    , m_url(std::move(url))
    , m_timeout(timeout)
{}

void TaskClient::start(const TaskStart &start, Completion completion)
{
    const json body{
            {"worker", start.worker.value()},     {"leaseMs", start.lease.count()},
            {"processors", start.processors},     {"memoryMib", start.memoryMib},
            {"accelerators", start.accelerators}, {"checkpoint", toBase64(start.checkpoint)},
            {"body", toBase64(start.body)}};
    net::HttpCall call;
    call.method = "PUT";
    call.url = fmt::format("{}/v1/tasks/{}", m_url, start.id);
    call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    call.timeout = m_timeout;
    m_http.send(std::move(call), [completion = std::move(completion)](net::HttpCallResult result) {
        if (auto error = errorOf(result)) {
            return completion(boost::outcome_v2::failure(std::move(*error)));
        }
        completion(success());
    });
}

void TaskClient::command(TaskCommand command, const std::vector<std::string> &tasks,
                         Completion completion)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = fmt::format("{}/v1/tasks?command={}", m_url, taskCommandNames.name(command));
    call.body = json(tasks).dump();
    call.timeout = m_timeout;
    m_http.send(std::move(call), [completion = std::move(completion)](net::HttpCallResult result) {
        if (auto error = errorOf(result)) {
            return completion(boost::outcome_v2::failure(std::move(*error)));
        }
        completion(success());
    });
}

void TaskClient::changes(TaskRevision after, std::chrono::milliseconds wait,
                         ListCompletion completion)
{
    net::HttpCall call;
    call.url = fmt::format("{}/v1/tasks?after={}&waitMs={}", m_url, after, wait.count());
    call.timeout = m_timeout + wait;
    m_http.send(std::move(call), [completion = std::move(completion)](net::HttpCallResult result) {
        if (auto error = errorOf(result)) {
            return completion(boost::outcome_v2::failure(std::move(*error)));
        }
        completion(readListing(result.reply->body));
    });
}

} // namespace cyclamenlatch::store
