// JSON formats of jobs and of the replies to callers.
#include "platform/callercodec.h"

#include "platform/internal/jsonfields.h"
#include "platform/internal/plaintext.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::platform {

namespace {

using scheduling::JobSpec;
using scheduling::StepSpec;

// Maximum size of a job's text that the platform's specification allows.
constexpr std::size_t maxTextBytes = 4000;
// Sanity limits against malformed jobs; far above what the platform's specification describes.
constexpr std::int64_t maxTasks = 10000;
constexpr std::size_t maxSteps = 200;
constexpr std::int64_t maxRepeats = 100000;
// The longest time that a caller waits.
constexpr std::chrono::hours maxCallerTimeout{24};

Error malformed(std::string message)
{
    return Error{ErrorKind::InvalidInput, std::move(message), "correct the job and send it again"};
}

std::uint32_t uint32Field(const nlohmann::json &json, const char *name)
{
    return static_cast<std::uint32_t>(detail::integerField(json, name).value_or(0));
}

// Accepts a label as a string or, as some callers send it, as a list with one string.
std::string decodeLabel(const nlohmann::json &json, const char *name)
{
    const auto *field = detail::findField(json, name);
    if (field != nullptr && field->is_array() && !field->empty() && (*field)[0].is_string()) {
        return (*field)[0].get<std::string>();
    }
    return detail::stringField(json, name);
}

Result<StepSpec> decodeStep(const nlohmann::json &json, std::size_t number)
{
    if (!json.is_object()) {
        return malformed(fmt::format("phase {} is not a JSON object", number));
    }
    for (const char *name : {"count", "cpu", "mem_mb", "gpu", "estimated_ms", "anti_affinity",
                             "target_ms", "may_skip"}) {
        if (!detail::hasValidAmount(json, name)) {
            return malformed(
                    fmt::format("phase {}: {} is not a number between 0 and 2^40", number, name));
        }
    }
    StepSpec step;
    const auto count = detail::integerField(json, "count").value_or(0);
    if (count < 1 || count > maxTasks) {
        return malformed(fmt::format("phase {}: count is not between 1 and {}", number, maxTasks));
    }
    step.count = static_cast<std::uint32_t>(count);
    step.requiredResources = detail::decodeResources(json);
    step.estimate =
            std::chrono::milliseconds(detail::integerField(json, "estimated_ms").value_or(0));
    if (const auto *after = detail::findField(json, "after"); after != nullptr) {
        if (!after->is_array()) {
            return malformed(fmt::format("phase {}: after is not a list of numbers", number));
        }
        for (const auto &predecessor : *after) {
            if (!predecessor.is_number_unsigned() || predecessor.get<std::uint64_t>() >= number) {
                return malformed(fmt::format(
                        "phase {}: after has an element that is not the number of an earlier phase",
                        number));
            }
            step.after.push_back(predecessor.get<std::uint32_t>());
        }
    }
    step.savesCheckpoints = detail::boolField(json, "checkpointing");
    step.isGang = detail::boolField(json, "gang");
    step.prefersSingleRack = detail::boolField(json, "same_rack");
    step.allowsCopies = detail::boolField(json, "speculative");
    step.isLongRunning = detail::boolField(json, "long_running");
    step.usesSpareProcessors = detail::boolField(json, "utilization");
    step.requiredLabel = decodeLabel(json, "requirements");
    step.dataRack = decodeLabel(json, "affinity");
    step.image = detail::stringField(json, "image");
    step.maxTasksPerTarget = uint32Field(json, "anti_affinity");
    step.tailLatencyBound =
            std::chrono::milliseconds(detail::integerField(json, "target_ms").value_or(0));
    step.maxUnavailable = uint32Field(json, "may_skip");
    return step;
}

} // namespace

Result<JobSpec> decodeJob(const std::string &body)
{
    const auto json = detail::parseJson(body);
    if (!json.is_object()) {
        return malformed("the request body is not a JSON object");
    }
    JobSpec spec;
    const auto *text = detail::findField(json, "spec");
    if (text != nullptr && !text->is_string()) {
        return malformed("spec is not a string");
    }
    spec.text = detail::stringField(json, "spec");
    if (spec.text.size() > maxTextBytes) {
        return malformed(fmt::format("spec is longer than {} bytes", maxTextBytes));
    }
    const auto *steps = detail::findField(json, "phases");
    if (steps == nullptr || !steps->is_array() || steps->empty() || steps->size() > maxSteps) {
        return malformed(fmt::format("phases is not a list of 1 to {} objects", maxSteps));
    }
    for (std::size_t number = 0; number < steps->size(); ++number) {
        BOOST_OUTCOME_TRY(step, decodeStep((*steps)[number], number));
        spec.steps.push_back(std::move(step));
    }
    const auto repeatCount = detail::integerField(json, "repeat_count").value_or(0);
    if (repeatCount < 0 || repeatCount > maxRepeats
        || !detail::hasValidAmount(json, "interval_ms")) {
        return malformed(fmt::format("repeat_count is not between 0 and {}, or the interval is not "
                                     "between 0 and 2^40 ms",
                                     maxRepeats));
    }
    spec.repeatCount = static_cast<std::uint32_t>(repeatCount);
    if (const auto *field = detail::findField(json, "start_at_ms"); field != nullptr) {
        const auto firstDue = detail::toInteger(*field, 0, detail::maxExactInteger);
        if (!firstDue) {
            return malformed("start_at_ms is not a number between 0 and 2^53");
        }
        spec.firstDue = WallTime(std::chrono::milliseconds(*firstDue));
    }
    spec.interval =
            std::chrono::milliseconds(detail::integerField(json, "interval_ms").value_or(0));
    return spec;
}

std::string encodeJobPhase(scheduling::JobPhase phase)
{
    return fmt::format(R"({{"state":"{}"}})", scheduling::jobPhaseNames.name(phase));
}

std::string encodePendingCount(std::size_t count)
{
    return fmt::format(R"({{"pending":{}}})", count);
}

std::string encodeError(const std::string &message, const std::string &remedy)
{
    return nlohmann::json{{"error", message}, {"remedy", remedy}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::chrono::milliseconds> decodeCallerTimeout(const net::HttpRequest &request)
{
    const auto header = request.headers.find("Cyclamenlatch-Deadline-Ms");
    if (!header) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    if (!detail::parseWholeNumber(*header, number)) {
        return std::nullopt;
    }
    return std::min<std::chrono::milliseconds>(std::chrono::milliseconds(number), maxCallerTimeout);
}

} // namespace cyclamenlatch::platform
