// Routes callers' requests and answers them from the store.
#include "control/jobrequesthandler.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "control/records.h"
#include "control/storekeys.h"
#include "net/bearertoken.h"
#include "platform/callercodec.h"
#include "platform/targetcodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace cyclamenlatch::control {

namespace {

using platform::StoreOutcome;
using scheduling::JobPhase;

// For a caller that sends no timeout of its own.
constexpr std::chrono::milliseconds defaultCallerTimeout{3000};
// Reserved for the answer to reach the caller before its timeout.
constexpr std::chrono::milliseconds responseTime{100};
// Few, because a caller is served sooner by another entry than by more tries of this one.
constexpr unsigned maxTries = 2;
// Requests that need the store are refused at once after an outage of this length.
constexpr std::chrono::milliseconds refuseAfterOutage{1200};
constexpr std::size_t maxCachedPhases = 20000;
constexpr const char *storeUnavailableReason = "the platform's store does not answer this entry";

// Whether the change was not done because the key exists.
bool conflictsWith(const std::string &key, const platform::StoreReply &reply)
{
    return std::any_of(reply.items.begin(), reply.items.end(),
                       [&key](const auto &item) { return item.key == key && item.revision != 0; });
}

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

} // namespace

JobRequestHandler::JobRequestHandler(PlatformStoreClient &store, Metrics &metrics,
                                     std::chrono::seconds tombstoneRetention)
    : m_store(store)
    , m_metrics(metrics)
    , m_tombstoneRetention(tombstoneRetention)
{}

void JobRequestHandler::setRules(scheduling::FleetRules rules)
{
    if (m_rules && rules.version <= m_rules->version) {
        return;
    }
    m_workspaceByKey.clear();
    for (std::size_t index = 0; index < rules.workspaces.size(); ++index) {
        for (const auto &key : rules.workspaces[index].keys) {
            m_workspaceByKey.emplace(key, index);
        }
    }
    m_rules = std::move(rules);
    logEvent(rulesInForce, "version={} queues={} workspaces={}", m_rules->version,
             m_rules->queues.size(), m_rules->workspaces.size());
}

const scheduling::QueueRule *JobRequestHandler::findQueue(const net::HttpRequest &request) const
{
    auto host = toLower(request.headers.find("Host").value_or(""));
    if (const auto colon = host.rfind(':'); colon != std::string::npos) {
        host.erase(colon);
    }
    const scheduling::QueueRule *best = nullptr;
    for (const auto &queue : m_rules->queues) {
        if (queue.host == host && request.path.starts_with(queue.prefix)
            && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

bool JobRequestHandler::authorize(const net::HttpRequest &request,
                                  const scheduling::QueueRule &queue, std::string &workspace) const
{
    const auto token = net::bearerToken(request.headers);
    const auto found = m_workspaceByKey.find(std::string(token));
    if (found != m_workspaceByKey.end()) {
        workspace = m_rules->workspaces[found->second].name;
        return true;
    }
    return queue.isPublic;
}

void JobRequestHandler::handle(net::HttpRequest request, net::HttpResponder respond)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->respond = std::move(respond);
    pending->method = request.method;
    pending->arrived = bootNow();
    pending->deadline =
            pending->arrived
            + std::max(platform::decodeCallerTimeout(request).value_or(defaultCallerTimeout)
                               - responseTime,
                       responseTime);
    ++m_openRequests;
    if (!m_rules) {
        return refuse(pending, 503, "this entry has no configuration yet",
                      "send the request again in a second");
    }
    const auto *queue = findQueue(request);
    if (queue == nullptr) {
        return refuse(pending, 404, "no queue has this host and path", "correct the address");
    }
    pending->queue = *queue;
    if (!authorize(request, *queue, pending->workspace)) {
        return refuse(pending, 401, "the workspace key is missing or unknown",
                      "send a key of a workspace in the current configuration");
    }
    pending->body = std::move(request.body);
    route(pending, std::string_view(request.path).substr(pending->queue.prefix.size()));
}

void JobRequestHandler::route(const PendingRequestPointer &pending, std::string_view rest)
{
    if (rest.empty()) {
        if (pending->method != "GET") {
            return refuse(pending, 405, "a queue takes only GET",
                          "use GET, or add a job id to the path");
        }
        return countPending(pending);
    }
    const auto id = platform::parseJobId(rest);
    if (!id) {
        return refuse(pending, 404, "the path does not end in a job id",
                      "end the path in an id of 16 hexadecimal digits");
    }
    pending->id = *id;
    if (pending->method == "POST") {
        return submit(pending);
    }
    if (pending->method == "GET") {
        return show(pending);
    }
    if (pending->method == "DELETE") {
        return cancel(pending);
    }
    refuse(pending, 405, "a job takes POST, GET and DELETE", "use POST, GET or DELETE");
}

void JobRequestHandler::submit(const PendingRequestPointer &pending)
{
    if (pending->body.size() > m_rules->limits.maxBodyBytes) {
        return refuse(pending, 413, "the body is larger than the configuration allows",
                      "send a smaller job");
    }
    auto spec = platform::decodeJob(pending->body);
    // Not held while the store is asked.
    std::string().swap(pending->body);
    if (!spec) {
        return refuse(pending, 400, spec.error().message, spec.error().remedy);
    }
    if (m_store.outageDuration(bootNow()) > refuseAfterOutage) {
        return replyUnavailable(pending, storeUnavailableReason);
    }
    scheduling::JobSubmission submission;
    submission.id = pending->id;
    submission.queue = pending->queue.name;
    submission.service = pending->queue.service;
    submission.workspace = pending->workspace;
    submission.submitted = wallNow();
    submission.spec = std::move(spec).value();
    submission.limits = m_rules->limitsOf(pending->queue, pending->workspace);
    platform::StoreTransaction transaction;
    transaction.expected = {{stateKey(pending->id), 0}, {tombstoneKey(pending->id), 0}};
    transaction.writes = {{jobKey(pending->id), encodeSubmission(submission), 0},
                          {stateKey(pending->id), encodeProgress({}), 0},
                          {waitingKey(submission.queue, pending->id), {}, 0}};
    sendSubmission(pending, transaction);
}

void JobRequestHandler::sendSubmission(const PendingRequestPointer &pending,
                                       const platform::StoreTransaction &transaction)
{
    ++pending->tries;
    sendChange(pending, transaction, [this, pending, transaction](const auto &reply) {
        handleSubmissionReply(pending, transaction, reply);
    });
}

// Every change for a request is sent here: one without an answer may still be carried out, so that
// the request can no longer be refused as not done.
void JobRequestHandler::sendChange(const PendingRequestPointer &pending,
                                   const platform::StoreTransaction &transaction,
                                   PlatformStoreClient::Completion completion)
{
    m_store.transaction(transaction,
                        [pending, completion = std::move(completion)](const auto &reply) {
                            if (reply.outcome == StoreOutcome::OutcomeUnknown) {
                                pending->isOutcomeUnknown = true;
                            }
                            completion(reply);
                        });
}

void JobRequestHandler::handleSubmissionReply(const PendingRequestPointer &pending,
                                              const platform::StoreTransaction &transaction,
                                              const platform::StoreReply &reply)
{
    const auto elapsed = toMilliseconds(bootNow() - pending->arrived).count();
    switch (reply.outcome) {
    case StoreOutcome::Done:
    case StoreOutcome::Conflict:
        if (conflictsWith(tombstoneKey(pending->id), reply)) {
            return refuse(pending, 503, "the job was cancelled before it was stored",
                          "send it under another id", m_tombstoneRetention);
        }
        // On a conflict the job is stored already, by an earlier try or an earlier request.
        cachePhase(pending->id, JobPhase::Queued);
        logEvent(jobAccepted, "job={} queue={} workspace={} version={} again={} ms={}",
                 platform::formatJobId(pending->id), pending->queue.name, pending->workspace,
                 m_rules->version, reply.outcome == StoreOutcome::Conflict, elapsed);
        return answer(pending, 200, "{}");
    default:
        break;
    }
    if (canRetry(pending)) {
        return sendSubmission(pending, transaction);
    }
    replyUnavailable(pending, reply.failure);
}

bool JobRequestHandler::canRetry(const PendingRequestPointer &pending)
{
    return pending->tries < maxTries && bootNow() < pending->deadline
           && m_store.outageDuration(bootNow()) < refuseAfterOutage;
}

void JobRequestHandler::show(const PendingRequestPointer &pending)
{
    const auto known = m_phases.find(pending->id);
    if (known != m_phases.end() && scheduling::isFinal(known->second)) {
        return answer(pending, 200, platform::encodeJobPhase(known->second));
    }
    ++pending->tries;
    m_store.get(stateKey(pending->id), [this, pending](const auto &reply) {
        if (reply.outcome == StoreOutcome::NotFound) {
            return answerNoSuchJob(pending);
        }
        if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
            const auto progress = decodeProgress(reply.items.front().value);
            if (!progress) {
                logEvent(recordUnreadable, "key={}", stateKey(pending->id));
                return refuse(pending, 503, progress.error().message, progress.error().remedy);
            }
            cachePhase(pending->id, progress.value().phase);
            return answer(pending, 200, platform::encodeJobPhase(progress.value().phase));
        }
        if (canRetry(pending)) {
            return show(pending);
        }
        // A cached phase that is not final may be outdated, but serves callers better than an
        // error.
        const auto phase = m_phases.find(pending->id);
        if (phase != m_phases.end()) {
            return answer(pending, 200, platform::encodeJobPhase(phase->second));
        }
        replyUnavailable(pending, reply.failure);
    });
}

void JobRequestHandler::cancel(const PendingRequestPointer &pending)
{
    ++pending->tries;
    m_store.get(stateKey(pending->id), [this, pending](const auto &reply) {
        if (reply.outcome == StoreOutcome::NotFound) {
            return writeTombstone(pending);
        }
        if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
            return writeCancel(pending, reply.items.front());
        }
        if (canRetry(pending)) {
            return cancel(pending);
        }
        replyUnavailable(pending, reply.failure);
    });
}

// A submission without an answer may be carried out seconds later, and the caller, who is told that
// there is no such job, will not cancel it again. The tombstone makes that submission fail. It is
// written anew for each cancel, so that its removal by the owner cannot undo a later one.
void JobRequestHandler::writeTombstone(const PendingRequestPointer &pending)
{
    platform::StoreTransaction transaction;
    transaction.expected = {{stateKey(pending->id), 0}};
    transaction.writes = {{tombstoneKey(pending->id), {}, 0}};
    sendChange(pending, transaction, [this, pending](const auto &reply) {
        if (reply.outcome == StoreOutcome::Done) {
            logEvent(unknownJobCancelled, "job={} queue={} revision={}",
                     platform::formatJobId(pending->id), pending->queue.name, reply.revision);
            return answerNoSuchJob(pending);
        }
        cancelAgain(pending, reply);
    });
}

// Reads the state again after a change that was not confirmed. A conflict, where the job was stored
// or the owner wrote progress in between, does not count as a try.
void JobRequestHandler::cancelAgain(const PendingRequestPointer &pending,
                                    const platform::StoreReply &reply)
{
    if (reply.outcome == StoreOutcome::Conflict) {
        --pending->tries;
    }
    if (canRetry(pending)) {
        return cancel(pending);
    }
    replyUnavailable(pending, reply.failure);
}

void JobRequestHandler::answerNoSuchJob(const PendingRequestPointer &pending)
{
    answer(pending, 410, platform::encodeError("no such job", "check the id"));
}

void JobRequestHandler::writeCancel(const PendingRequestPointer &pending,
                                    const platform::StoreItem &state)
{
    const auto progress = decodeProgress(state.value);
    if (progress && scheduling::isFinal(progress.value().phase)) {
        cachePhase(pending->id, progress.value().phase);
        return answer(pending, 200, platform::encodeJobPhase(progress.value().phase));
    }
    platform::StoreTransaction transaction;
    transaction.expected = {{state.key, state.revision}};
    scheduling::JobProgress cancelled;
    cancelled.phase = JobPhase::Cancelled;
    transaction.writes = {{state.key, encodeProgress(cancelled), 0}};
    transaction.removals = {jobKey(pending->id), waitingKey(pending->queue.name, pending->id)};
    sendChange(pending, transaction, [this, pending](const auto &reply) {
        if (reply.outcome == StoreOutcome::Done) {
            cachePhase(pending->id, JobPhase::Cancelled);
            logEvent(jobCancelAccepted, "job={} queue={} revision={}",
                     platform::formatJobId(pending->id), pending->queue.name, reply.revision);
            return answer(pending, 200, platform::encodeJobPhase(JobPhase::Cancelled));
        }
        cancelAgain(pending, reply);
    });
}

void JobRequestHandler::countPending(const PendingRequestPointer &pending)
{
    if (m_store.outageDuration(bootNow()) > refuseAfterOutage) {
        return replyUnavailable(pending, storeUnavailableReason);
    }
    m_store.listOnce(waitingPrefix(pending->queue.name), [this, pending](const auto &reply) {
        if (reply.outcome != StoreOutcome::Done) {
            return replyUnavailable(pending, reply.failure);
        }
        answer(pending, 200, platform::encodePendingCount(reply.items.size()));
    });
}

void JobRequestHandler::answer(const PendingRequestPointer &pending, int status, std::string body,
                               std::chrono::seconds retryAfter)
{
    net::HttpReply reply;
    reply.status = status;
    reply.headers.add("Content-Type", "application/json");
    if (status == 503 || status == 429) {
        reply.headers.add("Retry-After", std::to_string(retryAfter.count()));
    }
    reply.body = std::move(body);
    reply.closeConnection = m_isShuttingDown;
    m_metrics.count(
            fmt::format(R"(answers_total{{method="{}",status="{}"}})", pending->method, status));
    m_metrics.observe("answer_seconds", bootNow() - pending->arrived);
    --m_openRequests;
    pending->respond(std::move(reply));
}

void JobRequestHandler::refuse(const PendingRequestPointer &pending, int status,
                               const std::string &reason, const std::string &remedy,
                               std::chrono::seconds retryAfter)
{
    logEvent(jobRefused, "job={} method={} queue={} status={} reason=\"{}\" version={} ms={}",
             platform::formatJobId(pending->id), pending->method, pending->queue.name, status,
             reason, m_rules ? m_rules->version : 0,
             toMilliseconds(bootNow() - pending->arrived).count());
    answer(pending, status, platform::encodeError(reason, remedy), retryAfter);
}

void JobRequestHandler::replyUnavailable(const PendingRequestPointer &pending,
                                         const std::string &reason)
{
    if (pending->isOutcomeUnknown) {
        logEvent(jobOutcomeUnknown, "job={} method={} reason=\"{}\"",
                 platform::formatJobId(pending->id), pending->method, reason);
        return answer(pending, 504, platform::encodeError(reason, "send the same request again"));
    }
    refuse(pending, 503, reason, "send the request to another entry, or here again in a second");
}

void JobRequestHandler::cachePhase(scheduling::JobNumber id, JobPhase phase)
{
    const auto [found, isNew] = m_phases.emplace(id, phase);
    if (!isNew) {
        if (!scheduling::isFinal(found->second)) {
            found->second = phase;
        }
        return;
    }
    m_phaseOrder.push_back(id);
    if (m_phaseOrder.size() > maxCachedPhases) {
        m_phases.erase(m_phaseOrder.front());
        m_phaseOrder.pop_front();
    }
}

} // namespace cyclamenlatch::control
