// Turns HTTP requests about jobs into calls of the job desk, and records into replies.
#include "callerapi/jobroutes.h"

#include "admission/admission.h"
#include "callerapi/problem.h"
#include "net/bearertoken.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace cyclamenlatch::callerapi {

namespace {

// A record is one value of the store, which takes up to a megabyte.
constexpr std::size_t maxJobBodyBytes = std::size_t{256} * 1024;
constexpr std::size_t maxIdempotencyKeyBytes = 128;
constexpr double maxProcessors = 4096;
constexpr double maxMemoryMib = 1024.0 * 1024 * 16;
constexpr double maxAccelerators = 256;
constexpr std::string_view queuePrefix = "/v1/queues/";
constexpr std::string_view jobsSuffix = "/jobs";
constexpr std::string_view jobPrefix = "/v1/jobs/";

std::string requestIdOf(const net::HttpRequest &request)
{
    return std::string(request.headers.find("Request-Id").value_or(""));
}

net::HttpReply refusal(const Error &error, const std::string &requestId)
{
    const auto outcome = error.kind == ErrorKind::Unknown ? dispatch::Outcome::Unknown
                                                          : dispatch::Outcome::NotRun;
    return makeProblem(error, outcome, requestId);
}

net::HttpReply recordReply(int status, const jobs::JobRecord &record, const std::string &requestId)
{
    const nlohmann::json body{{"id", record.id.value()},
                              {"queue", record.queue.value()},
                              {"state", jobs::jobStateNames.name(record.state)},
                              {"reason", record.reason},
                              {"attempt", record.attempt},
                              {"worker", record.worker.value()},
                              {"failures", record.failures.size()},
                              {"cancelRequested", record.cancelRequested},
                              {"createdAtMs", record.createdAt.time_since_epoch().count()},
                              {"enteredAtMs", record.enteredAt.time_since_epoch().count()}};
    net::HttpReply reply;
    reply.status = status;
    reply.headers.add("Content-Type", "application/json");
    reply.headers.add("Cyclamenlatch-Outcome",
                      std::string(dispatch::outcomeNames.name(dispatch::Outcome::Completed)));
    if (!requestId.empty()) {
        reply.headers.add("Request-Id", requestId);
    }
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return reply;
}

// Reads a header that holds a number from 0 to most; absent counts as 0.
Result<double> amountOf(const net::HttpRequest &request, const std::string &header, double most)
{
    const auto text = request.headers.find(header);
    if (!text) {
        return 0.0;
    }
    double value = 0;
    const auto *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || !(value >= 0 && value <= most)) {
        return failure(ErrorKind::InvalidInput,
                       fmt::format("{} is not a number that is allowed", header),
                       fmt::format("send a number from 0 to {}", most));
    }
    return value;
}

Result<fleet::Resources> resourcesOf(const net::HttpRequest &request)
{
    fleet::Resources resources;
    BOOST_OUTCOME_TRY(processors, amountOf(request, "Job-Processors", maxProcessors));
    BOOST_OUTCOME_TRY(memory, amountOf(request, "Job-Memory-Mib", maxMemoryMib));
    BOOST_OUTCOME_TRY(accelerators, amountOf(request, "Job-Accelerators", maxAccelerators));
    resources.processors = processors;
    resources.memoryMib = memory;
    resources.accelerators = static_cast<unsigned>(accelerators);
    return resources;
}

jobs::JobDesk::Completion answerWith(int status, std::string requestId, net::HttpResponder respond)
{
    return [status, requestId = std::move(requestId),
            respond = std::move(respond)](const Result<jobs::JobRecord> &record) {
        respond(record ? recordReply(status, record.value(), requestId)
                       : refusal(record.error(), requestId));
    };
}

} // namespace

void JobRoutes::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    const std::lock_guard lock(m_mutex);
    m_fleet = std::move(fleet);
}

bool JobRoutes::isJobPath(const std::string &path)
{
    const bool submits = path.starts_with(queuePrefix) && path.ends_with(jobsSuffix)
                         && path.size() > queuePrefix.size() + jobsSuffix.size();
    return submits || (path.starts_with(jobPrefix) && path.size() > jobPrefix.size());
}

void JobRoutes::handle(const net::HttpRequest &request, net::HttpResponder respond)
{
    std::shared_ptr<const fleet::FleetDocument> fleet;
    {
        const std::lock_guard lock(m_mutex);
        fleet = m_fleet;
    }
    if (!fleet) {
        return respond(refusal({ErrorKind::Unavailable, "this entry has no configuration yet",
                                "try another entry, or again later"},
                               requestIdOf(request)));
    }
    if (request.path.starts_with(jobPrefix)) {
        return showOrCancel(*fleet, request, std::move(respond));
    }
    submit(*fleet, request, std::move(respond));
}

Result<jobs::JobSubmission> JobRoutes::readSubmission(const fleet::FleetDocument &fleet,
                                                      const net::HttpRequest &request) const
{
    const auto nameSize = request.path.size() - queuePrefix.size() - jobsSuffix.size();
    const QueueId queueId(request.path.substr(queuePrefix.size(), nameSize));
    BOOST_OUTCOME_TRY(entered, admission::admitTo(fleet, queueId, net::bearerToken(request.headers),
                                                  m_keyGate));
    if (entered.workspace.empty()) {
        return failure(ErrorKind::Unauthorized, "a job needs a workspace",
                       "send \"Authorization: Bearer <key>\", on open queues too");
    }
    if (request.body.size() > maxJobBodyBytes) {
        return failure(ErrorKind::TooLarge, "the body is too large for a job",
                       fmt::format("send at most {} bytes", maxJobBodyBytes));
    }
    const auto key = request.headers.find("Idempotency-Key").value_or("");
    if (key.size() > maxIdempotencyKeyBytes) {
        return failure(ErrorKind::InvalidInput, "Idempotency-Key is too long",
                       fmt::format("send at most {} bytes", maxIdempotencyKeyBytes));
    }
    BOOST_OUTCOME_TRY(resources, resourcesOf(request));
    jobs::JobSubmission submission;
    submission.workspace = entered.workspace;
    submission.queue = queueId;
    submission.resources = resources;
    submission.body = request.body;
    submission.idempotencyKey = std::string(key);
    if (const auto *entry = fleet.findWorkspace(entered.workspace)) {
        submission.mostWaiting = entry->waitingJobs;
    }
    return submission;
}

void JobRoutes::submit(const fleet::FleetDocument &fleet, const net::HttpRequest &request,
                       net::HttpResponder respond)
{
    const auto requestId = requestIdOf(request);
    if (request.method != "POST") {
        return respond(refusal({ErrorKind::InvalidInput, "jobs are handed in by POST",
                                "use POST /v1/queues/{queue}/jobs"},
                               requestId));
    }
    const auto submission = readSubmission(fleet, request);
    if (!submission) {
        return respond(refusal(submission.error(), requestId));
    }
    m_desk.submit(submission.value(), answerWith(202, requestId, std::move(respond)));
}

void JobRoutes::showOrCancel(const fleet::FleetDocument &fleet, const net::HttpRequest &request,
                             net::HttpResponder respond)
{
    const auto requestId = requestIdOf(request);
    // No queue is open here: a job belongs to a workspace.
    const auto workspace =
            admission::admit(fleet, fleet::Queue(), net::bearerToken(request.headers), m_keyGate);
    if (!workspace) {
        return respond(refusal(workspace.error(), requestId));
    }
    const JobId id(request.path.substr(jobPrefix.size()));
    auto answer = answerWith(200, requestId, respond);
    if (request.method == "GET") {
        return m_desk.show(id, workspace.value(), std::move(answer));
    }
    if (request.method == "DELETE") {
        return m_desk.cancel(id, workspace.value(), std::move(answer));
    }
    respond(refusal({ErrorKind::InvalidInput, "a job can be shown and cancelled",
                     "use GET or DELETE /v1/jobs/{id}"},
                    requestId));
}

} // namespace cyclamenlatch::callerapi
