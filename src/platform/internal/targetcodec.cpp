// Paths and JSON formats of targets and of the advice service.
#include "platform/targetcodec.h"

#include "platform/internal/jsonfields.h"
#include "platform/internal/jsonpost.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace cyclamenlatch::platform {

namespace {

using scheduling::OrderResult;
using scheduling::RunOutcome;
using scheduling::TaskRef;

constexpr std::size_t jobIdDigits = 16;

// A task is named job.occurrence.step.index; the job in hexadecimal, the rest in decimal.
std::string formatTaskName(const TaskRef &task)
{
    return fmt::format("{:016x}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
}

bool parseNumber(std::string_view text, std::uint32_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

std::optional<TaskRef> parseTaskName(std::string_view text)
{
    if (text.size() < jobIdDigits + 1 || text[jobIdDigits] != '.') {
        return std::nullopt;
    }
    const auto id = parseJobId(text.substr(0, jobIdDigits));
    text.remove_prefix(jobIdDigits + 1);
    const auto first = text.find('.');
    const auto second = first == std::string_view::npos ? first : text.find('.', first + 1);
    TaskRef task;
    if (!id || second == std::string_view::npos
        || !parseNumber(text.substr(0, first), task.occurrence)
        || !parseNumber(text.substr(first + 1, second - first - 1), task.step)
        || !parseNumber(text.substr(second + 1), task.index)) {
        return std::nullopt;
    }
    task.job = *id;
    return task;
}

net::HttpCall orderCall(const scheduling::TargetInfo &target, const char *path, std::string body)
{
    auto call = detail::jsonPost(fmt::format("http://{}{}", target.address, path), std::move(body));
    call.headers.add("Cyclamenlatch-Expect-Instance", target.id);
    return call;
}

// Returns the text as a JSON string with quotes; bytes that are not valid UTF-8 are replaced.
std::string toJsonString(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<RunOutcome> decodeRunOutcome(const std::string &outcome)
{
    static constexpr NamedValue<RunOutcome> entries[] = {
            {RunOutcome::Done, "done"},
            {RunOutcome::Failed, "failed"},
            {RunOutcome::Stopped, "stopped"},
            {RunOutcome::LeaseExpired, "lapsed"},
            {RunOutcome::GangMemberEnded, "broken"},
            {RunOutcome::GangTimedOut, "alone"},
    };
    static constexpr NameTable names{entries};
    return names.value(outcome);
}

// A row of running is [task, attempt, checkpoint, percent] and optionally the metric.
std::optional<scheduling::RunStatus> decodeRunStatus(const nlohmann::json &json)
{
    if (!json.is_array() || json.size() < 4 || !json[0].is_string() || !json[1].is_number()
        || !json[3].is_number()) {
        return std::nullopt;
    }
    const auto task = parseTaskName(json[0].get_ref<const std::string &>());
    if (!task) {
        return std::nullopt;
    }
    scheduling::RunStatus row;
    row.task = *task;
    row.attempt = json[1].get<std::uint32_t>();
    row.checkpoint = json[2].is_string() ? json[2].get<std::string>() : std::string{};
    row.percent = static_cast<int>(json[3].get<double>());
    if (json.size() > 4 && json[4].is_number()) {
        row.metric = static_cast<std::int64_t>(json[4].get<double>());
    }
    return row;
}

// A row of finished is [number, task, attempt, outcome] and optionally the checkpoint.
std::optional<scheduling::EndedRun> decodeEndedRun(const nlohmann::json &json)
{
    if (!json.is_array() || json.size() < 4 || !json[0].is_number() || !json[1].is_string()
        || !json[2].is_number() || !json[3].is_string()) {
        return std::nullopt;
    }
    const auto task = parseTaskName(json[1].get_ref<const std::string &>());
    const auto outcome = decodeRunOutcome(json[3].get_ref<const std::string &>());
    if (!task || !outcome) {
        return std::nullopt;
    }
    scheduling::EndedRun row;
    row.number = json[0].get<std::uint64_t>();
    row.task = *task;
    row.attempt = json[2].get<std::uint32_t>();
    row.outcome = *outcome;
    row.checkpoint = json.size() > 4 && json[4].is_string() ? json[4].get<std::string>() : "";
    return row;
}

} // namespace

std::string formatJobId(scheduling::JobNumber id)
{
    return fmt::format("{:016x}", id);
}

std::optional<scheduling::JobNumber> parseJobId(std::string_view text)
{
    if (text.size() != jobIdDigits) {
        return std::nullopt;
    }
    scheduling::JobNumber id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return id;
}

std::optional<scheduling::TargetInfo> decodeTarget(const std::string &key, const std::string &value)
{
    const auto json = detail::parseJson(value);
    scheduling::TargetInfo target;
    if (!json.is_object() || key.size() <= targetsPrefix.size()) {
        return std::nullopt;
    }
    target.id = key.substr(targetsPrefix.size());
    target.service = detail::stringField(json, "service");
    target.address = detail::stringField(json, "address");
    target.dataCentre = detail::stringField(json, "zone");
    target.host = detail::stringField(json, "machine");
    const auto state = detail::stringField(json, "state");
    const auto *capacity = detail::findField(json, "capacity");
    if (target.service.empty() || target.address.find(':') == std::string::npos
        || (state != "ready" && state != "draining") || capacity == nullptr
        || !capacity->is_object()) {
        return std::nullopt;
    }
    target.isDraining = state == "draining";
    target.capacity = detail::decodeResources(*capacity);
    target.labels = detail::stringListField(json, "labels");
    target.incarnation = detail::integerField(json, "born").value_or(0);
    return target;
}

net::HttpCall startCall(const scheduling::TargetInfo &target, std::uint64_t token,
                        const scheduling::StartOrder &order, const std::string &text)
{
    auto body = fmt::format(
            R"({{"task":"{}","attempt":{},"spec":{},"deadline_ms":{},"fencing_token":{})",
            formatTaskName(order.task), order.attempt, toJsonString(text), order.leaseUntil.count(),
            token);
    if (!order.checkpoint.empty()) {
        body += R"(,"checkpoint":)" + toJsonString(order.checkpoint);
    }
    if (!order.ticket.empty()) {
        body += R"(,"ticket":)" + toJsonString(order.ticket);
    }
    return orderCall(target, "/v1/run-start", body + "}");
}

net::HttpCall stopCall(const scheduling::TargetInfo &target, std::uint64_t token,
                       const scheduling::StopOrder &order)
{
    return orderCall(target, "/v1/run-stop",
                     fmt::format(R"({{"task":"{}","attempt":{},"fencing_token":{}}})",
                                 formatTaskName(order.task), order.attempt, token));
}

net::HttpCall paceCall(const scheduling::TargetInfo &target, std::uint64_t token,
                       const scheduling::PaceOrder &order)
{
    return orderCall(target, "/v1/pace",
                     fmt::format(R"({{"task":"{}","attempt":{},"percent":{},"fencing_token":{}}})",
                                 formatTaskName(order.task), order.attempt, order.percent, token));
}

net::HttpCall keepAliveCall(const scheduling::TargetInfo &target, std::uint64_t token,
                            const scheduling::KeepAliveOrder &order)
{
    auto body = fmt::format(R"({{"fencing_token":{},"ack_cursor":{})", token, order.endsRecorded);
    if (order.leaseUntil.count() > 0) {
        body += fmt::format(R"(,"deadline_ms":{})", order.leaseUntil.count());
    }
    if (order.wait.count() > 0) {
        body += fmt::format(R"(,"wait_ms":{})", order.wait.count());
    }
    return orderCall(target, "/v1/hold", body + "}");
}

net::HttpCall adviceCall(const std::string &address, const scheduling::AdviseOrder &order)
{
    const nlohmann::json body{{"phase", fmt::format("{}.{}.{}", formatJobId(order.step.job),
                                                    order.step.occurrence, order.step.step)},
                              {"workers", order.targets}};
    return detail::jsonPost(fmt::format("http://{}/v1/advise", address), body.dump());
}

std::optional<AdviceReply> decodeAdviceReply(const net::HttpCallResult &result)
{
    if (!result.reply || result.reply->status != 200) {
        return std::nullopt;
    }
    const auto json = detail::parseJson(result.reply->body);
    const auto *approved = detail::findField(json, "approved");
    if (approved == nullptr || !approved->is_array()) {
        return std::nullopt;
    }
    AdviceReply answer;
    answer.validity = std::chrono::milliseconds(detail::integerField(json, "valid_ms").value_or(0));
    for (const auto &row : *approved) {
        if (row.is_array() && row.size() >= 2 && row[0].is_string() && row[1].is_string()) {
            answer.approved.push_back({row[0].get<std::string>(), row[1].get<std::string>()});
        }
    }
    return answer;
}

OrderResult decodeOrderReply(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return result.sendState == net::SendState::NotSent ? OrderResult::NotSent
                                                           : OrderResult::OutcomeUnknown;
    }
    const int status = result.reply->status;
    if (status == 200) {
        return OrderResult::Accepted;
    }
    if (status != 409) {
        return status == 500 || status == 502 || status == 504 ? OrderResult::OutcomeUnknown
                                                               : OrderResult::Refused;
    }
    const auto reason = detail::stringField(detail::parseJson(result.reply->body), "reason");
    static constexpr NamedValue<OrderResult> entries[] = {
            {OrderResult::Fenced, "fence"},          {OrderResult::StaleAttempt, "old"},
            {OrderResult::DeadlineExceeded, "late"}, {OrderResult::InsufficientResources, "room"},
            {OrderResult::InvalidTicket, "ticket"},
    };
    static constexpr NameTable names{entries};
    return names.value(reason).value_or(OrderResult::Refused);
}

KeepAliveReply decodeKeepAliveReply(const net::HttpCallResult &result)
{
    KeepAliveReply answer;
    if (!result.reply) {
        answer.failure = result.failure;
        return answer;
    }
    if (result.reply->status != 200) {
        answer.isFenced = decodeOrderReply(result) == OrderResult::Fenced;
        answer.isWrongTarget = result.reply->status == 421;
        answer.failure = fmt::format("the target answered with HTTP {}", result.reply->status);
        return answer;
    }
    const auto json = detail::parseJson(result.reply->body);
    const auto clock = detail::integerField(json, "clock_ms");
    const auto *running = detail::findField(json, "running");
    const auto *ends = detail::findField(json, "finished");
    if (!clock || running == nullptr || !running->is_array() || ends == nullptr
        || !ends->is_array()) {
        answer.failure = "the target's list is malformed: a required field is absent or invalid";
        return answer;
    }
    scheduling::KeepAliveReport report;
    report.clock = std::chrono::milliseconds(*clock);
    report.incarnation = detail::integerField(json, "born").value_or(0);
    // A run that is missing from the list counts as gone. A malformed row may stand for a run, so
    // it invalidates the whole list.
    for (const auto &item : *running) {
        auto row = decodeRunStatus(item);
        if (!row) {
            answer.failure = "the target's list has a malformed run: the row can't be read";
            return answer;
        }
        report.running.push_back(std::move(*row));
    }
    for (const auto &item : *ends) {
        auto row = decodeEndedRun(item);
        if (!row) {
            answer.failure =
                    "the target's list has a malformed end of a run: the row can't be read";
            return answer;
        }
        report.ends.push_back(std::move(*row));
    }
    answer.report = std::move(report);
    return answer;
}

} // namespace cyclamenlatch::platform
