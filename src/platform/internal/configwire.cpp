// Decodes the configuration and waves.
#include "platform/configwire.h"

#include "platform/internal/jsonfields.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::platform {

namespace {

using scheduling::FleetRules;

std::chrono::milliseconds millisecondsOf(const nlohmann::json &json, const char *name)
{
    return std::chrono::milliseconds(detail::numberOf(json, name).value_or(0));
}

scheduling::QueueRule queueOf(const nlohmann::json &json)
{
    scheduling::QueueRule queue;
    queue.name = detail::textOf(json, "name");
    queue.host = detail::textOf(json, "host");
    queue.prefix = detail::textOf(json, "prefix");
    queue.service = detail::textOf(json, "service");
    queue.priority = static_cast<int>(detail::numberOf(json, "priority").value_or(0));
    queue.mostAttempts =
            static_cast<std::uint32_t>(detail::numberOf(json, "max_attempts").value_or(1));
    queue.slackFactor = detail::realOf(json, "slack_factor", 1);
    queue.targetLatency = millisecondsOf(json, "target_latency_ms");
    queue.isPublic = detail::flagOf(json, "public");
    const auto *advice = detail::fieldOf(json, "recommendation");
    if (advice != nullptr && advice->is_object()) {
        queue.advice = scheduling::AdviceRule{millisecondsOf(*advice, "decision_ms"),
                                              millisecondsOf(*advice, "per_worker_ms"),
                                              millisecondsOf(*advice, "valid_ms")};
    }
    return queue;
}

scheduling::WorkspaceRule workspaceOf(const nlohmann::json &json)
{
    scheduling::WorkspaceRule workspace;
    workspace.name = detail::textOf(json, "name");
    workspace.weight = detail::realOf(json, "weight", 1);
    workspace.keys = detail::textsOf(json, "api_keys");
    if (const auto *cap = detail::fieldOf(json, "cap"); cap != nullptr) {
        workspace.cap = detail::roomOf(*cap);
    }
    return workspace;
}

template<typename Entry, typename Decode>
void takeEach(const nlohmann::json &json, const char *name, std::vector<Entry> &entries,
              Decode decode)
{
    const auto *list = detail::fieldOf(json, name);
    if (list == nullptr || !list->is_array()) {
        return;
    }
    entries.reserve(list->size());
    for (const auto &item : *list) {
        entries.push_back(decode(item));
    }
}

} // namespace

Result<FleetRules> decodeRules(const std::string &value)
{
    const auto json = detail::parseJson(value);
    const auto version = detail::numberOf(json, "version");
    if (!version || detail::fieldOf(json, "routes") == nullptr) {
        return failure(ErrorKind::InvalidInput, "the configuration has no version or routes",
                       "write a whole configuration; the one in force stays until then");
    }
    FleetRules rules;
    rules.version = static_cast<std::uint64_t>(*version);
    takeEach(json, "routes", rules.queues, queueOf);
    takeEach(json, "tenants", rules.workspaces, workspaceOf);
    takeEach(json, "services", rules.services, [](const nlohmann::json &item) {
        return scheduling::ServiceRule{detail::textOf(item, "name"),
                                       detail::flagOf(item, "admission_check"),
                                       detail::flagOf(item, "standby")};
    });
    if (const auto *limits = detail::fieldOf(json, "limits"); limits != nullptr) {
        rules.limits.mostBodyBytes = static_cast<std::size_t>(
                detail::numberOf(*limits, "max_body_bytes")
                        .value_or(static_cast<std::int64_t>(rules.limits.mostBodyBytes)));
        rules.limits.mostHeaderBytes = static_cast<std::size_t>(
                detail::numberOf(*limits, "max_header_bytes")
                        .value_or(static_cast<std::int64_t>(rules.limits.mostHeaderBytes)));
    }
    return rules;
}

std::optional<scheduling::WavePlan> decodeWave(const std::string &value)
{
    const auto json = detail::parseJson(value);
    const auto number = detail::numberOf(json, "wave");
    const auto *hosts = detail::fieldOf(json, "machines");
    if (!number || hosts == nullptr || !hosts->is_array()) {
        return std::nullopt;
    }
    scheduling::WavePlan wave;
    wave.number = static_cast<std::uint64_t>(*number);
    wave.hosts = detail::textsOf(json, "machines");
    wave.duration = std::chrono::milliseconds(
            static_cast<std::int64_t>(detail::realOf(json, "duration_s", 0) * 1000));
    wave.mostAtOnce = static_cast<std::uint32_t>(
            std::max<std::int64_t>(detail::numberOf(json, "cap").value_or(1), 1));
    return wave;
}

std::string waveStatusKey(std::uint64_t number)
{
    return fmt::format("status/wave/{}", number);
}

std::string waveStatusText(bool isCompleted)
{
    return isCompleted ? R"({"state":"completed"})" : R"({"state":"running"})";
}

bool isWaveCompleted(const std::string &value)
{
    return detail::textOf(detail::parseJson(value), "state") == "completed";
}

} // namespace cyclamenlatch::platform
