// The JSON form of a job's record.
#include "jobs/jobrecord.h"

#include "store/base64.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cyclamenlatch::jobs {

namespace {

using nlohmann::json;

std::int64_t toNumber(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime toTime(const json &value)
{
    return WallTime(std::chrono::milliseconds(value.get<std::int64_t>()));
}

std::string readBytes(const json &value)
{
    return store::fromBase64(value.get<std::string>()).value_or("");
}

json failuresJson(const std::vector<JobFailure> &failures)
{
    json list = json::array();
    for (const auto &failure : failures) {
        list.push_back({{"worker", failure.worker.value()}, {"at", toNumber(failure.at)}});
    }
    return list;
}

} // namespace

std::string jobKey(const JobId &id)
{
    return std::string(jobKeyPrefix) + id.value();
}

std::string runOf(const JobRecord &record)
{
    return fmt::format("{}-{}", record.id.value(), toNumber(record.createdAt));
}

std::string taskOf(const JobRecord &record)
{
    return fmt::format("{}.{}", runOf(record), record.attempt);
}

std::string writeJobRecord(const JobRecord &record)
{
    const json value{{"id", record.id.value()},
                     {"workspace", record.workspace.value()},
                     {"queue", record.queue.value()},
                     {"state", jobStateNames.name(record.state)},
                     {"processors", record.resources.processors},
                     {"memoryMib", record.resources.memoryMib},
                     {"accelerators", record.resources.accelerators},
                     {"body", store::toBase64(record.body)},
                     {"submissionHash", record.submissionHash},
                     {"attempt", record.attempt},
                     {"worker", record.worker.value()},
                     {"holder", record.holder},
                     {"checkpoint", store::toBase64(record.checkpoint)},
                     {"failures", failuresJson(record.failures)},
                     {"cancelRequested", record.cancelRequested},
                     {"reason", record.reason},
                     {"createdAt", toNumber(record.createdAt)},
                     {"enteredAt", toNumber(record.enteredAt)},
                     {"notBefore", toNumber(record.notBefore)}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<JobRecord> readJobRecord(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        JobRecord record;
        record.id = JobId(value.at("id").get<std::string>());
        record.workspace = WorkspaceId(value.at("workspace").get<std::string>());
        record.queue = QueueId(value.at("queue").get<std::string>());
        const auto state = jobStateNames.value(value.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        record.state = *state;
        record.resources = {value.at("processors").get<double>(),
                            value.at("memoryMib").get<double>(),
                            value.at("accelerators").get<unsigned>()};
        record.body = readBytes(value.at("body"));
        record.submissionHash = value.at("submissionHash").get<std::string>();
        record.attempt = value.at("attempt").get<std::uint32_t>();
        record.worker = WorkerId(value.at("worker").get<std::string>());
        record.holder = value.at("holder").get<std::string>();
        record.checkpoint = readBytes(value.at("checkpoint"));
        for (const auto &failure : value.at("failures")) {
            record.failures.push_back(
                    {WorkerId(failure.at("worker").get<std::string>()), toTime(failure.at("at"))});
        }
        record.cancelRequested = value.at("cancelRequested").get<bool>();
        record.reason = value.at("reason").get<std::string>();
        record.createdAt = toTime(value.at("createdAt"));
        record.enteredAt = toTime(value.at("enteredAt"));
        record.notBefore = toTime(value.at("notBefore"));
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace cyclamenlatch::jobs
