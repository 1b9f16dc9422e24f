// Decodes jobs and writes answers to callers.
#include "platform/callerwire.h"

#include "platform/internal/jsonfields.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace cyclamenlatch::platform {

namespace {

using scheduling::JobSpec;
using scheduling::StepSpec;

// Bytes of a job's text that the pages allow.
constexpr std::size_t mostTextBytes = 4000;
// Bounds against malformed jobs; far above what the pages describe.
constexpr std::int64_t mostTasks = 10000;
constexpr std::size_t mostSteps = 200;
constexpr std::int64_t mostRepeats = 100000;
constexpr std::int64_t mostAmount = std::int64_t{1} << 40;

Error malformed(std::string message)
{
    return Error{ErrorKind::InvalidInput, std::move(message), "correct the job and send it again"};
}

bool isAmount(const nlohmann::json &json, const char *name)
{
    const auto *field = detail::fieldOf(json, name);
    if (field == nullptr) {
        return true;
    }
    if (!field->is_number()) {
        return false;
    }
    const double value = field->get<double>();
    return value >= 0 && value <= static_cast<double>(mostAmount);
}

std::uint32_t smallNumber(const nlohmann::json &json, const char *name)
{
    return static_cast<std::uint32_t>(detail::numberOf(json, name).value_or(0));
}

// A label may come as one text or, from others, as a list with one.
std::string labelOf(const nlohmann::json &json, const char *name)
{
    const auto *field = detail::fieldOf(json, name);
    if (field != nullptr && field->is_array() && !field->empty() && (*field)[0].is_string()) {
        return (*field)[0].get<std::string>();
    }
    return detail::textOf(json, name);
}

Result<StepSpec> decodeStep(const nlohmann::json &json, std::size_t number)
{
    if (!json.is_object()) {
        return malformed(fmt::format("phase {} is not an object", number));
    }
    for (const char *name : {"count", "cpu", "mem_mb", "gpu", "estimated_ms", "anti_affinity",
                             "target_ms", "may_skip"}) {
        if (!isAmount(json, name)) {
            return malformed(fmt::format("phase {}: {} is not an amount", number, name));
        }
    }
    StepSpec step;
    const auto count = detail::numberOf(json, "count").value_or(0);
    if (count < 1 || count > mostTasks) {
        return malformed(fmt::format("phase {}: count is not between 1 and {}", number, mostTasks));
    }
    step.count = static_cast<std::uint32_t>(count);
    step.need = detail::roomOf(json);
    step.estimate = std::chrono::milliseconds(detail::numberOf(json, "estimated_ms").value_or(0));
    if (const auto *after = detail::fieldOf(json, "after"); after != nullptr) {
        if (!after->is_array()) {
            return malformed(fmt::format("phase {}: after is not a list", number));
        }
        for (const auto &before : *after) {
            if (!before.is_number_unsigned() || before.get<std::uint64_t>() >= number) {
                return malformed(fmt::format("phase {}: after names no earlier phase", number));
            }
            step.after.push_back(before.get<std::uint32_t>());
        }
    }
    step.savesCheckpoints = detail::flagOf(json, "checkpointing");
    step.isGang = detail::flagOf(json, "gang");
    step.wantsOneRack = detail::flagOf(json, "same_rack");
    step.allowsCopies = detail::flagOf(json, "speculative");
    step.lasts = detail::flagOf(json, "long_running");
    step.fills = detail::flagOf(json, "utilization");
    step.requiredLabel = labelOf(json, "requirements");
    step.dataRack = labelOf(json, "affinity");
    step.image = detail::textOf(json, "image");
    step.mostPerTarget = smallNumber(json, "anti_affinity");
    step.tailTarget = std::chrono::milliseconds(detail::numberOf(json, "target_ms").value_or(0));
    step.mayBeAway = smallNumber(json, "may_skip");
    return step;
}

} // namespace

Result<JobSpec> decodeJob(const std::string &body)
{
    const auto json = detail::parseJson(body);
    if (!json.is_object()) {
        return malformed("the body is not a JSON object");
    }
    JobSpec spec;
    const auto *text = detail::fieldOf(json, "spec");
    if (text != nullptr && !text->is_string()) {
        return malformed("spec is not a string");
    }
    spec.text = detail::textOf(json, "spec");
    if (spec.text.size() > mostTextBytes) {
        return malformed(fmt::format("spec is longer than {} bytes", mostTextBytes));
    }
    const auto *steps = detail::fieldOf(json, "phases");
    if (steps == nullptr || !steps->is_array() || steps->empty() || steps->size() > mostSteps) {
        return malformed(fmt::format("phases is not a list of 1 to {}", mostSteps));
    }
    for (std::size_t number = 0; number < steps->size(); ++number) {
        BOOST_OUTCOME_TRY(step, decodeStep((*steps)[number], number));
        spec.steps.push_back(std::move(step));
    }
    const auto repeats = detail::numberOf(json, "repeat_count").value_or(0);
    if (repeats < 0 || repeats > mostRepeats || !isAmount(json, "interval_ms")) {
        return malformed(fmt::format("repeat_count is not between 0 and {}", mostRepeats));
    }
    spec.repeats = static_cast<std::uint32_t>(repeats);
    spec.firstDue =
            WallTime(std::chrono::milliseconds(detail::numberOf(json, "start_at_ms").value_or(0)));
    spec.interval = std::chrono::milliseconds(detail::numberOf(json, "interval_ms").value_or(0));
    return spec;
}

std::string phaseBody(scheduling::JobPhase phase)
{
    return fmt::format(R"({{"state":"{}"}})", scheduling::jobPhaseNames.name(phase));
}

std::string pendingBody(std::size_t count)
{
    return fmt::format(R"({{"pending":{}}})", count);
}

std::string errorBody(const std::string &message, const std::string &remedy)
{
    return nlohmann::json{{"error", message}, {"remedy", remedy}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::chrono::milliseconds> callerPatience(const net::HttpRequest &request)
{
    const auto header = request.headers.find("Cyclamenlatch-Deadline-Ms");
    if (!header) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const auto [end, error] =
            std::from_chars(header->data(), header->data() + header->size(), number);
    if (error != std::errc{} || end == header->data() || number < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(number);
}

} // namespace cyclamenlatch::platform
