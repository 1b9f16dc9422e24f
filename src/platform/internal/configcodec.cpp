// JSON formats of the configuration, of waves and of their status.
#include "platform/configcodec.h"

#include "platform/internal/jsonfields.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::platform {

namespace {

using scheduling::FleetRules;

constexpr std::int64_t maxPriority = 1'000'000;
constexpr std::int64_t maxAttemptLimit = 1'000'000;
// Upper bound of slack factors and weights.
constexpr double maxFactor = 1e9;
constexpr std::int64_t maxRequestBytes = std::int64_t{1} << 30;
constexpr double maxWaveSeconds = 1e9;
constexpr std::int64_t maxHosts = 1'000'000;

std::chrono::milliseconds millisecondsField(const nlohmann::json &json, const char *name)
{
    return std::chrono::milliseconds(
            detail::integerField(json, name, 0, detail::maxAmount).value_or(0));
}

scheduling::QueueRule decodeQueueRule(const nlohmann::json &json)
{
    scheduling::QueueRule queue;
    queue.name = detail::stringField(json, "name");
    queue.host = detail::stringField(json, "host");
    queue.prefix = detail::stringField(json, "prefix");
    queue.service = detail::stringField(json, "service");
    queue.priority =
            static_cast<int>(detail::integerField(json, "priority", 0, maxPriority).value_or(0));
    queue.maxAttempts = static_cast<std::uint32_t>(
            detail::integerField(json, "max_attempts", 0, maxAttemptLimit).value_or(1));
    queue.slackFactor = detail::realField(json, "slack_factor", 1, maxFactor);
    queue.targetLatency = millisecondsField(json, "target_latency_ms");
    queue.isPublic = detail::boolField(json, "public");
    const auto *advice = detail::findField(json, "recommendation");
    if (advice != nullptr && advice->is_object()) {
        queue.advice = scheduling::AdviceRule{millisecondsField(*advice, "decision_ms"),
                                              millisecondsField(*advice, "per_worker_ms"),
                                              millisecondsField(*advice, "valid_ms")};
    }
    return queue;
}

scheduling::WorkspaceRule decodeWorkspaceRule(const nlohmann::json &json)
{
    scheduling::WorkspaceRule workspace;
    workspace.name = detail::stringField(json, "name");
    workspace.weight = detail::realField(json, "weight", 1, maxFactor);
    workspace.keys = detail::stringListField(json, "api_keys");
    if (const auto *cap = detail::findField(json, "cap"); cap != nullptr) {
        workspace.cap = detail::decodeResources(*cap);
    }
    return workspace;
}

template<typename Entry, typename Decode>
void decodeList(const nlohmann::json &json, const char *name, std::vector<Entry> &entries,
                Decode decode)
{
    const auto *list = detail::findField(json, name);
    if (list == nullptr || !list->is_array()) {
        return;
    }
    entries.reserve(list->size());
    for (const auto &item : *list) {
        if (item.is_object()) {
            entries.push_back(decode(item));
        }
    }
}

} // namespace

Result<FleetRules> decodeFleetRules(const std::string &value)
{
    const auto json = detail::parseJson(value);
    const auto version = detail::integerField(json, "version");
    if (!version || detail::findField(json, "routes") == nullptr) {
        return failure(ErrorKind::InvalidInput,
                       "the configuration lacks the field version or routes",
                       "write a complete configuration; the current one stays in force until then");
    }
    FleetRules rules;
    rules.version = static_cast<std::uint64_t>(std::max<std::int64_t>(*version, 0));
    decodeList(json, "routes", rules.queues, decodeQueueRule);
    decodeList(json, "tenants", rules.workspaces, decodeWorkspaceRule);
    decodeList(json, "services", rules.services, [](const nlohmann::json &item) {
        return scheduling::ServiceRule{detail::stringField(item, "name"),
                                       detail::boolField(item, "admission_check"),
                                       detail::boolField(item, "standby")};
    });
    if (const auto *limits = detail::findField(json, "limits"); limits != nullptr) {
        rules.limits.maxBodyBytes = static_cast<std::size_t>(
                detail::integerField(*limits, "max_body_bytes", 0, maxRequestBytes)
                        .value_or(static_cast<std::int64_t>(rules.limits.maxBodyBytes)));
        rules.limits.maxHeaderBytes = static_cast<std::size_t>(
                detail::integerField(*limits, "max_header_bytes", 0, maxRequestBytes)
                        .value_or(static_cast<std::int64_t>(rules.limits.maxHeaderBytes)));
    }
    return rules;
}

std::optional<scheduling::WavePlan> decodeWave(const std::string &value)
{
    const auto json = detail::parseJson(value);
    const auto number = detail::integerField(json, "wave", 0, detail::maxExactInteger);
    const auto *hosts = detail::findField(json, "machines");
    if (!number || hosts == nullptr || !hosts->is_array()) {
        return std::nullopt;
    }
    scheduling::WavePlan wave;
    wave.number = static_cast<std::uint64_t>(*number);
    wave.hosts = detail::stringListField(json, "machines");
    wave.duration = std::chrono::milliseconds(static_cast<std::int64_t>(
            detail::realField(json, "duration_s", 0, maxWaveSeconds) * 1000));
    wave.maxConcurrent = static_cast<std::uint32_t>(
            std::max<std::int64_t>(detail::integerField(json, "cap", 0, maxHosts).value_or(1), 1));
    return wave;
}

std::string waveStatusKey(std::uint64_t number)
{
    return fmt::format("status/wave/{}", number);
}

std::string encodeWaveStatus(bool isCompleted)
{
    return isCompleted ? R"({"state":"completed"})" : R"({"state":"running"})";
}

bool isWaveCompleted(const std::string &value)
{
    return detail::stringField(detail::parseJson(value), "state") == "completed";
}

} // namespace cyclamenlatch::platform
