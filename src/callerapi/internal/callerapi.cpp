// Routes callers' requests and turns outcomes into replies.
#include "callerapi/callerapi.h"

#include "admission/admission.h"
#include "callerapi/problem.h"
#include "dispatch/deniedclaim.h"
#include "net/bearertoken.h"

#include <fmt/format.h>

#include <charconv>
#include <numeric>
#include <optional>
#include <string_view>
#include <utility>

namespace cyclamenlatch::callerapi {

namespace {

constexpr std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t maxHeaderCount = 100;
constexpr std::size_t maxHeaderBytes = std::size_t{32} * 1024;
constexpr std::size_t maxRequestIdBytes = 128;
constexpr std::string_view queuePrefix = "/v1/queues/";
constexpr std::string_view queueSuffix = "/requests";

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

std::size_t bytesOf(const std::vector<net::HttpHeader> &headers)
{
    return std::accumulate(headers.begin(), headers.end(), std::size_t{0},
                           [](std::size_t sum, const net::HttpHeader &header) {
                               return sum + header.name.size() + header.value.size();
                           });
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
        return makeProblem(*answer.error, answer.outcome, requestId, answer.retryAfter);
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

CallerApi::CallerApi(dispatch::Dispatcher &dispatcher, dispatch::OutcomeService &outcomes)
    : m_dispatcher(dispatcher)
    , m_outcomes(outcomes)
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
        if (!currentFleet()) {
            const auto reason = m_unreadyReason ? m_unreadyReason() : std::string();
            return respond(makeText(503, fmt::format("no configuration yet: {}\n", reason)));
        }
        return respond(makeText(200, "ready\n"));
    }
    if (request.path == "/metrics") {
        return respond(makeText(200, metricsText()));
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
    } else if (requestId.size() > maxRequestIdBytes) {
        requestId.clear();
    }
    auto admitted = admit(queueId, request, requestId);
    if (!admitted) {
        m_metrics.addRefused();
        auto refusal = makeProblem(admitted.error(), dispatch::Outcome::NotRun, requestId);
        refusal.closeConnection = m_leaving;
        return respond(std::move(refusal));
    }
    auto shared = std::make_shared<Admitted>(std::move(admitted.value()));
    shared->respond = std::move(respond);
    shared->connection = std::move(request.connection);
    ++m_inFlight;
    if (shared->key) {
        return claim(std::move(shared));
    }
    run(std::move(shared), std::nullopt);
}

Result<CallerApi::Admitted> CallerApi::admit(const QueueId &queueId, net::HttpRequest &request,
                                             const std::string &requestId)
{
    if (m_refusing) {
        return failure(ErrorKind::Unavailable, "this entry is stopping", "use another entry");
    }
    if (requestId.empty()) {
        return failure(ErrorKind::InvalidInput, "Request-Id is too long",
                       fmt::format("send at most {} bytes", maxRequestIdBytes));
    }
    const auto &headers = request.headers.all();
    if (headers.size() > maxHeaderCount || bytesOf(headers) > maxHeaderBytes) {
        return failure(ErrorKind::TooLarge, "the header fields are too many or too large",
                       fmt::format("send at most {} fields and {} bytes of them", maxHeaderCount,
                                   maxHeaderBytes));
    }
    if (request.body.size() > maxBodyBytes) {
        return failure(ErrorKind::TooLarge, "the body is too large",
                       fmt::format("send at most {} bytes", maxBodyBytes));
    }
    const auto fleet = currentFleet();
    if (!fleet) {
        return failure(ErrorKind::Unavailable, "this entry has no configuration yet",
                       "try another entry, or again later");
    }
    BOOST_OUTCOME_TRY(entered, admission::admitTo(*fleet, queueId,
                                                  net::bearerToken(request.headers), m_keyGate));
    BOOST_OUTCOME_TRY(timeout, timeoutOf(request, *entered.queue));
    Admitted admitted;
    if (const auto header = request.headers.find("Idempotency-Key")) {
        BOOST_OUTCOME_TRY(key, dispatch::parseIdempotencyKey(*header));
        admitted.key = std::move(key);
    }
    admitted.timeout = timeout;
    admitted.arrivedAt = steadyNow();
    admitted.work.requestId = requestId;
    admitted.work.queue = queueId;
    admitted.work.workspace = entered.workspace;
    admitted.work.contentType = std::string(request.headers.find("Content-Type").value_or(""));
    admitted.work.body = std::move(request.body);
    admitted.work.deadline = admitted.arrivedAt + timeout;
    return admitted;
}

void CallerApi::claim(std::shared_ptr<Admitted> admitted)
{
    dispatch::ClaimRequest request;
    request.key = *admitted->key;
    request.workspace = admitted->work.workspace;
    request.queue = admitted->work.queue;
    request.fingerprint = dispatch::bodyFingerprint(admitted->work.body);
    request.timeout = admitted->timeout;
    m_outcomes.claim(request,
                     [this, admitted = std::move(admitted)](
                             std::optional<dispatch::ClaimVerdict> verdict,
                             dispatch::ClaimTicket ticket, dispatch::StoredAnswer kept) mutable {
                         if (verdict == dispatch::ClaimVerdict::Granted) {
                             return run(std::move(admitted), std::move(ticket));
                         }
                         reply(*admitted, dispatch::deniedClaimAnswer(verdict, std::move(kept)));
                     });
}

void CallerApi::run(std::shared_ptr<Admitted> admitted,
                    std::optional<dispatch::ClaimTicket> claimTicket)
{
    auto work = std::move(admitted->work);
    admitted->work.requestId = work.requestId;
    admitted->work.queue = work.queue;
    const auto connection = admitted->connection;
    const auto ticket = m_dispatcher.submit(
            std::move(work),
            [this, admitted = std::move(admitted),
             claimTicket = std::move(claimTicket)](dispatch::DispatchAnswer answer) {
                if (claimTicket) {
                    m_outcomes.report(*claimTicket, answer);
                }
                reply(*admitted, std::move(answer));
            });
    // Tickets are never used again: cancelling one that has ended does nothing.
    if (connection) {
        connection->addCallback([this, ticket] { m_dispatcher.cancel(ticket); });
    }
}

void CallerApi::reply(const Admitted &admitted, dispatch::DispatchAnswer answer)
{
    m_metrics.add(admitted.work.queue, answer.outcome, steadyNow() - admitted.arrivedAt);
    auto made = makeReply(std::move(answer), admitted.work.requestId);
    made.closeConnection = m_leaving;
    admitted.respond(std::move(made));
    --m_inFlight;
}

std::string CallerApi::metricsText() const
{
    return m_metrics.toText()
           + fmt::format("# TYPE cyclamenlatch_requests_in_flight gauge\n"
                         "cyclamenlatch_requests_in_flight {}\n"
                         "# TYPE cyclamenlatch_requests_queued gauge\n"
                         "cyclamenlatch_requests_queued {}\n",
                         m_inFlight.load(), m_dispatcher.queued());
}

} // namespace cyclamenlatch::callerapi
