// Reads operators' requests about jobs and writes the answers as JSON.
#include "app/internal/joboperatorroutes.h"

#include <nlohmann/json.hpp>

namespace cyclamenlatch::app::detail {

namespace {

using nlohmann::json;
using operatorapi::OperatorRequest;

void answerCancel(jobs::JobDesk &desk, const OperatorRequest &request,
                  const net::HttpResponder &respond)
{
    const auto body = json::parse(request.http.body, nullptr, false);
    const bool readable = body.is_object() && body.contains("workspace")
                          && body.at("workspace").is_string()
                          && !body.at("workspace").get<std::string>().empty()
                          && (!body.contains("queue") || body.at("queue").is_string());
    if (!readable) {
        return respond(
                operatorapi::errorReply({ErrorKind::InvalidInput, "the command names no workspace",
                                         "send a JSON object with \"workspace\""}));
    }
    desk.cancelAll({WorkspaceId(body.at("workspace")), QueueId(body.value("queue", ""))},
                   [respond](const Result<jobs::BulkCancelCount> &count) {
                       if (!count) {
                           return respond(operatorapi::errorReply(count.error()));
                       }
                       respond(operatorapi::jsonReply(200, {{"cancelled", count.value().cancelled},
                                                            {"failed", count.value().failed}}));
                   });
}

} // namespace

void addJobOperatorRoutes(operatorapi::OperatorApi &api, jobs::JobDesk &desk)
{
    api.addRoute("POST", "/v1/jobs/cancel", operatorapi::Role::Operate,
                 [&desk](const OperatorRequest &request, const net::HttpResponder &respond) {
                     answerCancel(desk, request, respond);
                 });
}

} // namespace cyclamenlatch::app::detail
