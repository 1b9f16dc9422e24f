// Assignments as JSON.
#include "capacity/workerassignment.h"

#include <nlohmann/json.hpp>

namespace cyclamenlatch::capacity {

using nlohmann::json;

std::string assignmentKey(const WorkerId &worker)
{
    return assignmentPrefix + worker.value();
}

std::string writeAssignment(const WorkerAssignment &assignment)
{
    return json{{"worker", assignment.worker.value()},
                {"pool", assignment.pool.value()},
                {"desired", assignment.desired.value()},
                {"home", assignment.home.value()},
                {"step", assignmentStepNames.name(assignment.step)},
                {"setBy", assignment.setBy},
                {"joined", assignment.joined},
                {"attempt", assignment.attempt}}
            .dump();
}

Result<WorkerAssignment> readAssignment(const std::string &text)
{
    try {
        const auto value = json::parse(text);
        WorkerAssignment assignment;
        assignment.worker = WorkerId(value.at("worker"));
        assignment.pool = PoolId(value.at("pool"));
        assignment.desired = PoolId(value.at("desired"));
        assignment.home = PoolId(value.at("home"));
        assignment.setBy = value.at("setBy");
        assignment.joined = value.at("joined");
        assignment.attempt = value.value("attempt", std::uint64_t{0});
        const auto step = assignmentStepNames.value(value.at("step").get<std::string>());
        if (step) {
            assignment.step = *step;
            return assignment;
        }
    } catch (const json::exception &) {
        // Reported below.
    }
    return failure(ErrorKind::Internal, "a worker's assignment is malformed",
                   "look at who else writes below " + std::string(assignmentPrefix));
}

} // namespace cyclamenlatch::capacity
