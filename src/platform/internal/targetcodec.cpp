// Paths and JSON formats of targets and of the advice service.
#include "platform/targetcodec.h"

#include "platform/internal/jsonfields.h"
#include "platform/internal/jsonpost.h"
#include "platform/internal/plaintext.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace cyclamenlatch::platform {

namespace {

using scheduling::OrderResult;
using scheduling::RunOutcome;
using scheduling::TaskRef;

constexpr std::size_t jobIdDigits = 16;
// An entry has some hundred bytes. A larger one is from another writer.
constexpr std::size_t maxEntryBytes = std::size_t{64} * 1024;
constexpr std::size_t maxLabels = 64;
// Larger checkpoints are not kept: they would not fit into the record of the task's job.
constexpr std::size_t maxCheckpointBytes = std::size_t{16} * 1024;
constexpr std::int64_t maxAttempt = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t maxTicketValidity = 24LL * 60 * 60 * 1000;

// A task is named job.occurrence.step.index; the job in hexadecimal, the rest in decimal.
std::string formatTaskName(const TaskRef &task)
{
    return fmt::format("{:016x}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
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
        || !detail::parseWholeNumber(text.substr(0, first), task.occurrence)
        || !detail::parseWholeNumber(text.substr(first + 1, second - first - 1), task.step)
        || !detail::parseWholeNumber(text.substr(second + 1), task.index)) {
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

std::int64_t decodeIncarnation(const net::HttpReply &reply)
{
    return reply.status != 200 ? 0
                               : detail::integerField(detail::parseJson(reply.body), "born", 1,
                                                      detail::maxExactInteger)
                                         .value_or(0);
}

// Has the call reach this incarnation of the target only; 0: any. The header that names the
// expected target holds for all incarnations.
net::HttpCall forIncarnation(net::HttpCall call, std::int64_t incarnation, std::uint64_t token)
{
    call.peerCheck = net::PeerCheck{incarnation,
                                    "/v1/hold",
                                    fmt::format(R"({{"fencing_token":{},"ack_cursor":0}})", token),
                                    {},
                                    &decodeIncarnation};
    return call;
}

// Returns the text as a JSON string with quotes; bytes that are not valid UTF-8 are replaced.
std::string toJsonString(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Resources that are 0 may be left out.
bool isCapacity(const nlohmann::json &json)
{
    return json.is_object() && detail::hasValidAmount(json, "cpu")
           && detail::hasValidAmount(json, "mem_mb") && detail::hasValidAmount(json, "gpu");
}

bool isTextOrMissing(const nlohmann::json &json, const char *name)
{
    const auto *field = detail::findField(json, name);
    return field == nullptr || field->is_string();
}

// The labels may be left out.
bool hasValidLabels(const nlohmann::json &json)
{
    const auto *labels = detail::findField(json, "labels");
    return labels == nullptr
           || (labels->is_array() && labels->size() <= maxLabels
               && std::all_of(labels->begin(), labels->end(), [](const auto &label) {
                      return label.is_string()
                             && detail::isPlainText(label.template get_ref<const std::string &>());
                  }));
}

// The time of the start may be left out; it is a whole number.
bool hasValidIncarnation(const nlohmann::json &json)
{
    const auto *born = detail::findField(json, "born");
    return born == nullptr
           || (born->is_number_integer() && detail::toInteger(*born, 0, detail::maxExactInteger));
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

std::string decodeCheckpoint(const nlohmann::json &json)
{
    return json.is_string() && json.get_ref<const std::string &>().size() <= maxCheckpointBytes
                   ? json.get<std::string>()
                   : std::string{};
}

// Why the target refused a call.
OrderResult decodeRefusal(const net::HttpReply &reply)
{
    if (reply.status != 409) {
        return OrderResult::Refused;
    }
    const auto reason = detail::stringField(detail::parseJson(reply.body), "reason");
    static constexpr NamedValue<OrderResult> entries[] = {
            {OrderResult::Fenced, "fence"},          {OrderResult::StaleAttempt, "old"},
            {OrderResult::DeadlineExceeded, "late"}, {OrderResult::InsufficientResources, "room"},
            {OrderResult::InvalidTicket, "ticket"},
    };
    static constexpr NameTable names{entries};
    return names.value(reason).value_or(OrderResult::Refused);
}

// A row of running is [task, attempt, checkpoint, percent] and optionally the metric.
std::optional<scheduling::RunStatus> decodeRunStatus(const nlohmann::json &json)
{
    if (!json.is_array() || json.size() < 4 || !json[0].is_string()) {
        return std::nullopt;
    }
    const auto task = parseTaskName(json[0].get_ref<const std::string &>());
    const auto attempt = detail::toInteger(json[1], 0, maxAttempt);
    const auto percent = detail::toInteger(json[3]);
    if (!task || !attempt || !percent) {
        return std::nullopt;
    }
    scheduling::RunStatus row;
    row.task = *task;
    row.attempt = static_cast<std::uint32_t>(*attempt);
    row.checkpoint = decodeCheckpoint(json[2]);
    row.percent = static_cast<int>(std::clamp<std::int64_t>(*percent, 0, 100));
    if (json.size() > 4) {
        row.metric = detail::toInteger(json[4], 0, detail::maxExactInteger);
    }
    return row;
}

// A row of finished is [number, task, attempt, outcome] and optionally the checkpoint.
std::optional<scheduling::EndedRun> decodeEndedRun(const nlohmann::json &json)
{
    if (!json.is_array() || json.size() < 4 || !json[1].is_string() || !json[3].is_string()) {
        return std::nullopt;
    }
    // A number that is too high would hide all later ends.
    const auto number = detail::toInteger(json[0], 1, detail::maxExactInteger);
    const auto attempt = detail::toInteger(json[2], 0, maxAttempt);
    const auto task = parseTaskName(json[1].get_ref<const std::string &>());
    const auto outcome = decodeRunOutcome(json[3].get_ref<const std::string &>());
    if (!number || !task || !attempt || !outcome) {
        return std::nullopt;
    }
    scheduling::EndedRun row;
    row.number = static_cast<std::uint64_t>(*number);
    row.task = *task;
    row.attempt = static_cast<std::uint32_t>(*attempt);
    row.outcome = *outcome;
    row.checkpoint = json.size() > 4 ? decodeCheckpoint(json[4]) : std::string{};
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
    if (key.size() <= targetsPrefix.size() || value.size() > maxEntryBytes) {
        return std::nullopt;
    }
    const auto json = detail::parseJson(value);
    scheduling::TargetInfo target;
    target.id = key.substr(targetsPrefix.size());
    target.service = detail::stringField(json, "service");
    target.address = detail::stringField(json, "address");
    target.dataCentre = detail::stringField(json, "zone");
    target.host = detail::stringField(json, "machine");
    const auto state = detail::stringField(json, "state");
    const auto *capacity = detail::findField(json, "capacity");
    if (!detail::isIdentifier(target.id) || target.service.empty()
        || !detail::isPlainText(target.service) || !detail::isPlainText(target.dataCentre)
        || !detail::isPlainText(target.host) || !detail::isEndpoint(target.address)
        || (state != "ready" && state != "draining") || capacity == nullptr
        || !isCapacity(*capacity) || !isTextOrMissing(json, "zone")
        || !isTextOrMissing(json, "machine") || !hasValidLabels(json)
        || !hasValidIncarnation(json)) {
        return std::nullopt;
    }
    target.isDraining = state == "draining";
    target.capacity = detail::decodeResources(*capacity);
    target.labels = detail::stringListField(json, "labels");
    target.incarnation = detail::integerField(json, "born").value_or(0);
    return target;
}

net::HttpCall startCall(const scheduling::TargetInfo &target, const scheduling::StartOrder &order,
                        const std::string &text)
{
    auto body = fmt::format(
            R"({{"task":"{}","attempt":{},"spec":{},"deadline_ms":{},"fencing_token":{})",
            formatTaskName(order.task), order.attempt, toJsonString(text), order.leaseUntil.count(),
            order.token);
    if (!order.checkpoint.empty()) {
        body += R"(,"checkpoint":)" + toJsonString(order.checkpoint);
    }
    if (!order.ticket.empty()) {
        body += R"(,"ticket":)" + toJsonString(order.ticket);
    }
    return forIncarnation(orderCall(target, "/v1/run-start", body + "}"), order.incarnation,
                          order.token);
}

net::HttpCall stopCall(const scheduling::TargetInfo &target, const scheduling::StopOrder &order)
{
    auto body = fmt::format(R"({{"task":"{}","attempt":{},"fencing_token":{}}})",
                            formatTaskName(order.task), order.attempt, order.token);
    return forIncarnation(orderCall(target, "/v1/run-stop", std::move(body)), order.incarnation,
                          order.token);
}

net::HttpCall paceCall(const scheduling::TargetInfo &target, const scheduling::PaceOrder &order)
{
    auto body = fmt::format(R"({{"task":"{}","attempt":{},"percent":{},"fencing_token":{}}})",
                            formatTaskName(order.task), order.attempt, order.percent, order.token);
    return forIncarnation(orderCall(target, "/v1/pace", std::move(body)), order.incarnation,
                          order.token);
}

net::HttpCall keepAliveCall(const scheduling::TargetInfo &target,
                            const scheduling::KeepAliveOrder &order)
{
    auto body =
            fmt::format(R"({{"fencing_token":{},"ack_cursor":{})", order.token, order.endsRecorded);
    if (order.leaseUntil.count() > 0) {
        body += fmt::format(R"(,"deadline_ms":{})", order.leaseUntil.count());
    }
    if (order.wait.count() > 0) {
        body += fmt::format(R"(,"wait_ms":{})", order.wait.count());
    }
    // A call that neither grants a lease nor lets ends be forgotten may reach any incarnation,
    // which names itself in its answer.
    const bool changesTarget = order.leaseUntil.count() > 0 || order.endsRecorded > 0;
    return forIncarnation(orderCall(target, "/v1/hold", body + "}"),
                          changesTarget ? order.incarnation : 0, order.token);
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
    answer.validity = std::chrono::milliseconds(
            detail::integerField(json, "valid_ms", 0, maxTicketValidity).value_or(0));
    for (const auto &row : *approved) {
        if (row.is_array() && row.size() >= 2 && row[0].is_string() && row[1].is_string()) {
            answer.approved.push_back({row[0].get<std::string>(), row[1].get<std::string>()});
        }
    }
    return answer;
}

OrderResult decodeOrderReply(const net::HttpCallResult &result)
{
    if (result.peerReply) {
        const bool isFenced = decodeRefusal(*result.peerReply) == OrderResult::Fenced;
        return isFenced                                    ? OrderResult::Fenced
               : decodeIncarnation(*result.peerReply) == 0 ? OrderResult::NotSent
                                                           : OrderResult::TargetRestarted;
    }
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
    return decodeRefusal(*result.reply);
}

std::optional<std::chrono::milliseconds> decodeOrderClock(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return std::nullopt;
    }
    const auto clock = detail::integerField(detail::parseJson(result.reply->body), "clock_ms", 0,
                                            detail::maxExactInteger);
    return clock ? std::optional(std::chrono::milliseconds(*clock)) : std::nullopt;
}

KeepAliveReply decodeKeepAliveReply(const net::HttpCallResult &result)
{
    KeepAliveReply answer;
    // Another incarnation than the expected one names itself with its list.
    const auto &reply = result.reply ? result.reply : result.peerReply;
    if (!reply) {
        answer.failure = result.failure;
        return answer;
    }
    if (reply->status != 200) {
        answer.isFenced = decodeRefusal(*reply) == OrderResult::Fenced;
        answer.isWrongTarget = reply->status == 421;
        answer.failure = fmt::format("the target answered with HTTP {}", reply->status);
        return answer;
    }
    const auto json = detail::parseJson(reply->body);
    const auto clock = detail::integerField(json, "clock_ms", 0, detail::maxExactInteger);
    const auto *running = detail::findField(json, "running");
    const auto *ends = detail::findField(json, "finished");
    if (!clock || running == nullptr || !running->is_array() || ends == nullptr || !ends->is_array()
        || !hasValidIncarnation(json)) {
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
