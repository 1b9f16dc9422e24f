// Routes callers' requests and turns outcomes into replies.
#include "callerapi/callerapi.h"

#include "admission/admission.h"
#include "callerapi/problem.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace cyclamenlatch::callerapi {

namespace {

constexpr std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t maxRequestIdBytes = 128;
constexpr std::string_view queuePrefix = "/v1/queues/";
constexpr std::string_view queueSuffix = "/requests";
constexpr std::string_view bearerPrefix = "Bearer ";

std::optional<QueueId> queueOf(std::string_view path)
{
    if (!path.starts_with(queuePrefix) || !path.ends_with(queueSuffix)
        || path.size() <= queuePrefix.size() + queueSuffix.size()) {
        return std::nullopt;
    }
    path.remove_prefix(queuePrefix.size());
    path.remove_suffix(queueSuffix.size());
    return QueueId(std::string(path));
}

std::string_view presentedKey(const net::HttpRequest &request)
{
    const auto header = request.headers.find("Authorization").value_or("");
    return header.starts_with(bearerPrefix) ? header.substr(bearerPrefix.size()) : header;
}

Result<std::chrono::milliseconds> timeoutOf(const net::HttpRequest &request,
                                            const fleet::Queue &queue)
{
    const auto header = request.headers.find("Request-Timeout-Ms");
    if (!header) {
        return queue.timeout;
    }
    long long milliseconds = 0;
    const auto *end = header->data() + header->size();
    const auto parsed = std::from_chars(header->data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds <= 0
        || milliseconds > queue.timeout.count()) {
        return failure(ErrorKind::InvalidInput,
                       "Request-Timeout-Ms is not a number of milliseconds that the queue allows",
                       fmt::format("send a whole number from 1 to {}", queue.timeout.count()));
    }
    return std::chrono::milliseconds(milliseconds);
}

net::HttpReply makeReply(dispatch::DispatchAnswer answer, const std::string &requestId)
{
    if (answer.error) {
        return makeProblem(*answer.error, answer.outcome, requestId);
    }
    net::HttpReply reply;
    reply.status = answer.status;
    if (!answer.contentType.empty()) {
        reply.headers.add("Content-Type", std::move(answer.contentType));
    }
    reply.headers.add("Cyclamenlatch-Outcome",
                      std::string(dispatch::outcomeNames.name(answer.outcome)));
    reply.headers.add("Request-Id", requestId);
    reply.body = std::move(answer.body);
    return reply;
}

net::HttpReply makeText(int status, std::string text)
{
    net::HttpReply reply;
    reply.status = status;
    reply.headers.add("Content-Type", "text/plain");
    reply.body = std::move(text);
    return reply;
}

} // namespace

CallerApi::CallerApi(dispatch::Dispatcher &dispatcher)
    : m_dispatcher(dispatcher)
{}

void CallerApi::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    const std::lock_guard lock(m_mutex);
    m_fleet = std::move(fleet);
}

std::shared_ptr<const fleet::FleetDocument> CallerApi::currentFleet()
{
    const std::lock_guard lock(m_mutex);
    return m_fleet;
}

void CallerApi::handle(net::HttpRequest request, net::HttpResponder respond)
{
    if (request.path == "/healthz") {
        return respond(makeText(200, "ok\n"));
    }
    if (request.path == "/readyz") {
        if (m_leaving) {
            return respond(makeText(503, "leaving\n"));
        }
        return respond(currentFleet() ? makeText(200, "ready\n")
                                      : makeText(503, "no configuration yet\n"));
    }
    const auto queueId = queueOf(request.path);
    if (!queueId) {
        return respond(makeProblem({ErrorKind::NotFound, "nothing is served at this address",
                                    "use POST /v1/queues/{queue}/requests"},
                                   dispatch::Outcome::NotRun, ""));
    }
    if (request.method != "POST") {
        return respond(makeProblem({ErrorKind::InvalidInput, "requests are handed in by POST",
                                    "use POST /v1/queues/{queue}/requests"},
                                   dispatch::Outcome::NotRun, ""));
    }
    handleRequest(*queueId, std::move(request), std::move(respond));
}

void CallerApi::handleRequest(const QueueId &queueId, net::HttpRequest request,
                              net::HttpResponder respond)
{
    std::string requestId(request.headers.find("Request-Id").value_or(""));
    if (requestId.empty()) {
        requestId = fmt::format("r-{}", m_nextRequest++);
    }
    const auto refuse = [&requestId, &respond](const Error &error) {
        respond(makeProblem(error, dispatch::Outcome::NotRun, requestId));
    };
    if (requestId.size() > maxRequestIdBytes) {
        requestId.clear();
        return refuse({ErrorKind::InvalidInput, "Request-Id is too long",
                       fmt::format("send at most {} bytes", maxRequestIdBytes)});
    }
    if (request.body.size() > maxBodyBytes) {
        return refuse({ErrorKind::TooLarge, "the body is too large",
                       fmt::format("send at most {} bytes", maxBodyBytes)});
    }
    const auto fleet = currentFleet();
    if (!fleet) {
        return refuse({ErrorKind::Unavailable, "this entry has no configuration yet",
                       "try another entry, or again later"});
    }
    const auto *queue = fleet->findQueue(queueId);
    if (queue == nullptr) {
        return refuse({ErrorKind::NotFound, "the queue does not exist",
                       "check the queue's name in the address"});
    }
    const auto workspace = admission::admit(*fleet, *queue, presentedKey(request));
    if (!workspace) {
        return refuse(workspace.error());
    }
    const auto timeout = timeoutOf(request, *queue);
    if (!timeout) {
        return refuse(timeout.error());
    }

    dispatch::DispatchRequest work;
    work.requestId = requestId;
    work.queue = queueId;
    work.workspace = workspace.value();
    work.contentType = std::string(request.headers.find("Content-Type").value_or(""));
    work.body = std::move(request.body);
    work.deadline = steadyNow() + timeout.value();
    ++m_inFlight;
    m_dispatcher.submit(std::move(work), [this, requestId, respond = std::move(respond)](
                                                 dispatch::DispatchAnswer answer) {
        respond(makeReply(std::move(answer), requestId));
        --m_inFlight;
    });
}

} // namespace cyclamenlatch::callerapi
