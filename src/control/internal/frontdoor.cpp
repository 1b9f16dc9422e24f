// Routes callers' requests and carries each to its answer.
#include "control/frontdoor.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "control/records.h"
#include "control/storekeys.h"
#include "net/bearertoken.h"
#include "platform/callerwire.h"
#include "platform/targetcalls.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace cyclamenlatch::control {

namespace {

using platform::StoreOutcome;
using scheduling::JobPhase;

// A caller that does not say how long it waits.
constexpr std::chrono::milliseconds usualPatience{3000};
// For the answer's way back.
constexpr std::chrono::milliseconds answerTime{100};
// Tries at a store that refuses; a caller does better at another entry.
constexpr unsigned mostTries = 2;
// The store has been silent for this long: what needs it is refused at once.
constexpr std::chrono::milliseconds silenceBeforeRefusing{1200};
// Phases kept for answers while the store is away.
constexpr std::size_t mostPhases = 20000;
constexpr const char *comeBackSeconds = "1";
constexpr const char *storeAway = "the platform's store does not answer this entry";

std::string lowered(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

} // namespace

FrontDoor::FrontDoor(StoreLink &store, Metrics &metrics)
    : m_store(store)
    , m_metrics(metrics)
{}

void FrontDoor::setRules(scheduling::FleetRules rules)
{
    if (m_rules && rules.version <= m_rules->version) {
        return;
    }
    m_keys.clear();
    for (std::size_t index = 0; index < rules.workspaces.size(); ++index) {
        for (const auto &key : rules.workspaces[index].keys) {
            m_keys.emplace(key, index);
        }
    }
    m_rules = std::move(rules);
    logEvent(rulesInForce, "version={} queues={} workspaces={}", m_rules->version,
             m_rules->queues.size(), m_rules->workspaces.size());
}

const scheduling::QueueRule *FrontDoor::findQueue(const net::HttpRequest &request) const
{
    auto host = lowered(request.headers.find("Host").value_or(""));
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

bool FrontDoor::admit(const net::HttpRequest &request, const scheduling::QueueRule &queue,
                      std::string &workspace) const
{
    const auto token = net::bearerToken(request.headers);
    const auto found = m_keys.find(std::string(token));
    if (found != m_keys.end()) {
        workspace = m_rules->workspaces[found->second].name;
        return true;
    }
    return queue.isPublic;
}

void FrontDoor::handle(net::HttpRequest request, net::HttpResponder respond)
{
    auto visit = std::make_shared<Visit>();
    visit->respond = std::move(respond);
    visit->method = request.method;
    visit->arrived = bootNow();
    visit->deadline =
            visit->arrived
            + std::max(platform::callerPatience(request).value_or(usualPatience) - answerTime,
                       answerTime);
    ++m_openRequests;
    if (!m_rules) {
        return refuse(visit, 503, "this entry has no configuration yet", "ask again soon");
    }
    const auto *queue = findQueue(request);
    if (queue == nullptr) {
        return refuse(visit, 404, "no queue has this host and path", "correct the address");
    }
    visit->queue = *queue;
    if (!admit(request, *queue, visit->workspace)) {
        return refuse(visit, 401, "the key is missing or not known", "send a key in force");
    }
    visit->body = std::move(request.body);
    route(visit, std::string_view(request.path).substr(visit->queue.prefix.size()));
}

void FrontDoor::route(const VisitPointer &visit, std::string_view rest)
{
    if (rest.empty()) {
        if (visit->method != "GET") {
            return refuse(visit, 405, "a queue can only be asked with GET", "name a job");
        }
        return countPending(visit);
    }
    const auto id = platform::parseJobId(rest);
    if (!id) {
        return refuse(visit, 404, "a job's id has 16 hexadecimal digits", "correct the id");
    }
    visit->id = *id;
    if (visit->method == "POST") {
        return submit(visit);
    }
    if (visit->method == "GET") {
        return show(visit);
    }
    if (visit->method == "DELETE") {
        return cancel(visit);
    }
    refuse(visit, 405, "a job takes POST, GET and DELETE", "use one of these");
}

void FrontDoor::submit(const VisitPointer &visit)
{
    if (visit->body.size() > m_rules->limits.mostBodyBytes) {
        return refuse(visit, 413, "the body is larger than the configuration allows",
                      "send a smaller job");
    }
    auto spec = platform::decodeJob(visit->body);
    if (!spec) {
        return refuse(visit, 400, spec.error().message, spec.error().remedy);
    }
    if (m_store.silence(bootNow()) > silenceBeforeRefusing) {
        return giveUp(visit, storeAway);
    }
    scheduling::JobSubmission submission;
    submission.id = visit->id;
    submission.queue = visit->queue.name;
    submission.service = visit->queue.service;
    submission.workspace = visit->workspace;
    submission.submitted = wallNow();
    submission.spec = std::move(spec).value();
    platform::StoreChange change;
    change.expected = {{stateKey(visit->id), 0}};
    change.writes = {{jobKey(visit->id), encodeSubmission(submission), 0},
                     {stateKey(visit->id), encodeProgress({}), 0},
                     {waitingKey(submission.queue, visit->id), {}, 0}};
    sendSubmission(visit, change);
}

void FrontDoor::sendSubmission(const VisitPointer &visit, const platform::StoreChange &change)
{
    ++visit->tries;
    m_store.change(change, [this, visit, change](const auto &reply) {
        judgeSubmission(visit, change, reply);
    });
}

void FrontDoor::judgeSubmission(const VisitPointer &visit, const platform::StoreChange &change,
                                const platform::StoreReply &reply)
{
    const auto elapsed = toMilliseconds(bootNow() - visit->arrived).count();
    switch (reply.outcome) {
    case StoreOutcome::Done:
    case StoreOutcome::Conflict:
        // A conflict says that the job is there already: by an earlier try or an earlier request.
        remember(visit->id, JobPhase::Queued);
        logEvent(jobAccepted, "job={} queue={} workspace={} version={} again={} ms={}",
                 platform::jobIdText(visit->id), visit->queue.name, visit->workspace,
                 m_rules->version, reply.outcome == StoreOutcome::Conflict, elapsed);
        return answer(visit, 200, "{}");
    case StoreOutcome::Unclear:
        visit->isUnclear = true;
        break;
    default:
        break;
    }
    if (mayTryAgain(visit)) {
        return sendSubmission(visit, change);
    }
    giveUp(visit, reply.failure);
}

bool FrontDoor::mayTryAgain(const VisitPointer &visit)
{
    return visit->tries < mostTries && bootNow() < visit->deadline
           && m_store.silence(bootNow()) < silenceBeforeRefusing;
}

void FrontDoor::show(const VisitPointer &visit)
{
    const auto known = m_phases.find(visit->id);
    if (known != m_phases.end() && scheduling::isFinal(known->second)) {
        return answer(visit, 200, platform::phaseBody(known->second));
    }
    ++visit->tries;
    m_store.get(stateKey(visit->id), [this, visit](const auto &reply) {
        if (reply.outcome == StoreOutcome::Missing) {
            return answer(visit, 410, platform::errorBody("no such job", "check the id"));
        }
        if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
            const auto progress = decodeProgress(reply.items.front().value);
            if (!progress) {
                logEvent(recordUnreadable, "key={}", stateKey(visit->id));
                return refuse(visit, 503, progress.error().message, progress.error().remedy);
            }
            remember(visit->id, progress.value().phase);
            return answer(visit, 200, platform::phaseBody(progress.value().phase));
        }
        if (mayTryAgain(visit)) {
            return show(visit);
        }
        // Before the end of a job an older phase is true enough.
        const auto phase = m_phases.find(visit->id);
        if (phase != m_phases.end()) {
            return answer(visit, 200, platform::phaseBody(phase->second));
        }
        giveUp(visit, reply.failure);
    });
}

void FrontDoor::cancel(const VisitPointer &visit)
{
    ++visit->tries;
    m_store.get(stateKey(visit->id), [this, visit](const auto &reply) {
        if (reply.outcome == StoreOutcome::Missing) {
            return answer(visit, 410, platform::errorBody("no such job", "check the id"));
        }
        if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
            return writeCancel(visit, reply.items.front());
        }
        if (mayTryAgain(visit)) {
            return cancel(visit);
        }
        giveUp(visit, reply.failure);
    });
}

void FrontDoor::writeCancel(const VisitPointer &visit, const platform::StoreItem &state)
{
    const auto progress = decodeProgress(state.value);
    if (progress && scheduling::isFinal(progress.value().phase)) {
        remember(visit->id, progress.value().phase);
        return answer(visit, 200, platform::phaseBody(progress.value().phase));
    }
    platform::StoreChange change;
    change.expected = {{state.key, state.revision}};
    scheduling::JobProgress cancelled;
    cancelled.phase = JobPhase::Cancelled;
    change.writes = {{state.key, encodeProgress(cancelled), 0}};
    change.removals = {jobKey(visit->id), waitingKey(visit->queue.name, visit->id)};
    m_store.change(change, [this, visit](const auto &reply) {
        if (reply.outcome == StoreOutcome::Done) {
            remember(visit->id, JobPhase::Cancelled);
            logEvent(jobCancelAccepted, "job={} queue={} revision={}",
                     platform::jobIdText(visit->id), visit->queue.name, reply.revision);
            return answer(visit, 200, platform::phaseBody(JobPhase::Cancelled));
        }
        // The owner wrote progress in between, or the try may have taken effect: read again.
        if (reply.outcome == StoreOutcome::Conflict) {
            --visit->tries;
        }
        if (mayTryAgain(visit)) {
            return cancel(visit);
        }
        giveUp(visit, reply.failure);
    });
}

void FrontDoor::countPending(const VisitPointer &visit)
{
    if (m_store.silence(bootNow()) > silenceBeforeRefusing) {
        return giveUp(visit, storeAway);
    }
    m_store.listOnce(waitingPrefix(visit->queue.name), [this, visit](const auto &reply) {
        if (reply.outcome != StoreOutcome::Done) {
            return giveUp(visit, reply.failure);
        }
        answer(visit, 200, platform::pendingBody(reply.items.size()));
    });
}

void FrontDoor::answer(const VisitPointer &visit, int status, std::string body)
{
    net::HttpReply reply;
    reply.status = status;
    reply.headers.add("Content-Type", "application/json");
    if (status == 503 || status == 429) {
        reply.headers.add("Retry-After", comeBackSeconds);
    }
    reply.body = std::move(body);
    reply.closeConnection = m_isLeaving;
    m_metrics.count(
            fmt::format(R"(answers_total{{method="{}",status="{}"}})", visit->method, status));
    m_metrics.observe("answer_seconds", bootNow() - visit->arrived);
    --m_openRequests;
    visit->respond(std::move(reply));
}

void FrontDoor::refuse(const VisitPointer &visit, int status, const std::string &why,
                       const std::string &remedy)
{
    logEvent(jobRefused, "job={} method={} queue={} status={} reason=\"{}\" version={} ms={}",
             platform::jobIdText(visit->id), visit->method, visit->queue.name, status, why,
             m_rules ? m_rules->version : 0, toMilliseconds(bootNow() - visit->arrived).count());
    answer(visit, status, platform::errorBody(why, remedy));
}

void FrontDoor::giveUp(const VisitPointer &visit, const std::string &why)
{
    if (visit->isUnclear) {
        logEvent(jobUnclear, "job={} method={} reason=\"{}\"", platform::jobIdText(visit->id),
                 visit->method, why);
        return answer(visit, 504, platform::errorBody(why, "send the same request again"));
    }
    refuse(visit, 503, why, "ask another entry, or this one a little later");
}

void FrontDoor::remember(scheduling::JobNumber id, JobPhase phase)
{
    const auto [found, isNew] = m_phases.emplace(id, phase);
    if (!isNew) {
        if (!scheduling::isFinal(found->second)) {
            found->second = phase;
        }
        return;
    }
    m_phaseOrder.push_back(id);
    if (m_phaseOrder.size() > mostPhases) {
        m_phases.erase(m_phaseOrder.front());
        m_phaseOrder.pop_front();
    }
}

} // namespace cyclamenlatch::control
