// Reads operators' requests about workers and writes the answers as JSON.
#include "app/internal/workerroutes.h"

#include <nlohmann/json.hpp>

namespace cyclamenlatch::app::detail {

namespace {

using capacity::VersionedAssignment;
using nlohmann::json;
using operatorapi::OperatorRequest;

json assignmentJson(const VersionedAssignment &found)
{
    return {{"worker", found.assignment.worker.value()},
            {"pool", found.assignment.pool.value()},
            {"desired", found.assignment.desired.value()},
            {"step", capacity::assignmentStepNames.name(found.assignment.step)},
            {"setBy", found.assignment.setBy},
            {"revision", found.revision}};
}

void answerList(capacity::PoolController &pools, const net::HttpResponder &respond)
{
    pools.list([respond](const std::vector<VersionedAssignment> &all) {
        json values = json::array();
        for (const auto &found : all) {
            values.push_back(assignmentJson(found));
        }
        respond(operatorapi::jsonReply(200, {{"workers", std::move(values)}}));
    });
}

void answerMove(capacity::PoolController &pools, const OperatorRequest &request,
                const net::HttpResponder &respond)
{
    try {
        const auto body = json::parse(request.http.body);
        pools.move(WorkerId(body.at("worker")), PoolId(body.at("pool")), request.operatorName,
                   body.value("revision", store::StoreRevision{0}),
                   [respond](const Result<VersionedAssignment> &moved) {
                       respond(moved ? operatorapi::jsonReply(200, assignmentJson(moved.value()))
                                     : operatorapi::errorReply(moved.error()));
                   });
    } catch (const json::exception &) {
        respond(operatorapi::errorReply({ErrorKind::InvalidInput, "the command can't be read",
                                         "send a JSON object with \"worker\" and \"pool\""}));
    }
}

} // namespace

void addWorkerRoutes(operatorapi::OperatorApi &api, capacity::PoolController &pools)
{
    using operatorapi::Role;
    api.addRoute("GET", "/v1/workers", Role::Read,
                 [&pools](const OperatorRequest &, const net::HttpResponder &respond) {
                     answerList(pools, respond);
                 });
    api.addRoute("POST", "/v1/workers/move", Role::Operate,
                 [&pools](const OperatorRequest &request, const net::HttpResponder &respond) {
                     answerMove(pools, request, respond);
                 });
}

} // namespace cyclamenlatch::app::detail
