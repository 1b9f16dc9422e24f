// Loading of the owner's state, planning, and keep-alives of targets.
#include "control/ownerservice.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "control/internal/callafter.h"
#include "control/records.h"
#include "control/retention.h"
#include "control/storekeys.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cyclamenlatch::control {

namespace {

using platform::StoreOutcome;
using scheduling::JobNumber;

// Longest wait of one watch call for jobs or targets; short, so that a dead connection is noticed
// soon.
constexpr std::chrono::milliseconds jobWatchWait{1500};
constexpr std::chrono::milliseconds targetWatchWait{2000};
constexpr std::chrono::milliseconds retryPause{150};
// A plan is delayed so that it covers events that come together. The delay grows with the duration
// of the last plan, so that planning takes a bounded share of the processor's time.
constexpr std::chrono::milliseconds minPlanDelay{3};
constexpr int planDelayFactor = 5;
constexpr std::chrono::milliseconds maxPlanDelay{60};
// For decisions that depend on time alone, such as expired leases.
constexpr std::chrono::milliseconds tickInterval{100};
constexpr std::chrono::milliseconds keepAliveRetryPause{150};
constexpr std::chrono::milliseconds slowKeepAliveRetryPause{1000};
constexpr unsigned maxQuickKeepAliveRetries = 5;
// Interval of writing the list of targets that may have orders, when ids only leave it.
constexpr std::chrono::milliseconds targetsRecordInterval{1000};
constexpr std::chrono::milliseconds workLogInterval{1000};

scheduling::OwnerSettings makeSettings(const platform::EntrySettings &settings,
                                       const Tenure &tenure)
{
    scheduling::OwnerSettings owner;
    owner.term = tenure.term;
    owner.firstToken = tenure.firstToken;
    owner.tokenCount = tokensPerTenure;
    owner.runLease = std::min(owner.runLease, settings.maxRunLease);
    owner.maxRunLease = std::min(owner.maxRunLease, settings.maxRunLease);
    owner.longestLease = settings.maxRunLease;
    owner.stopTimeout = settings.stopTimeout;
    owner.remoteSlowdownFactor = settings.remoteSlowdownFactor;
    owner.maxRunTimeKinds = settings.maxRunTimeKinds;
    owner.disabled = settings.disabled;
    return owner;
}

std::optional<JobNumber> jobIdFromKey(const std::string &key, std::string_view prefix)
{
    return key.size() > prefix.size()
                   ? platform::parseJobId(std::string_view(key).substr(prefix.size()))
                   : std::nullopt;
}

} // namespace

struct OwnerService::KeepAliveLoop
{
    explicit KeepAliveLoop(asio::io_context &context)
        : timer(context)
    {}
    asio::steady_timer timer;
    bool isCalling = false;
    unsigned failures = 0;
};

OwnerService::OwnerService(asio::io_context &context, PlatformStoreClient &store,
                           net::LoopHttpClient &http, Ownership &ownership,
                           const platform::EntrySettings &settings, Metrics &metrics)
    : m_context(context)
    , m_store(store)
    , m_http(http)
    , m_ownership(ownership)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_tenure(ownership.tenure())
    , m_core(makeSettings(settings, m_tenure), bootNow(),
             [this](const auto &decision) { logDecision(decision); })
    , m_hostService(context, store, http, ownership, settings, m_core, m_work,
                    [this] { schedulePlan(); })
    , m_jobWatcher(context, store, std::string(jobPrefix), jobWatchWait,
                   [this](const auto &items, auto storeRevision, bool isSnapshot) {
                       applyJobItems(items, storeRevision, isSnapshot);
                   })
    , m_targetWatcher(context, store, std::string(platform::targetsPrefix), targetWatchWait,
                      [this](const auto &items, auto storeRevision, bool isSnapshot) {
                          applyTargetItems(items, storeRevision, isSnapshot);
                      })
    , m_tombstoneCollector(store, metrics, m_tenure.revision, recordRetention(settings))
    , m_tickTimer(context)
    , m_planTimer(context)
    , m_orderedTargets(store, ownership, std::string(orderedTargetsKey))
{}

OwnerService::~OwnerService() = default;

void OwnerService::start(const scheduling::FleetRules &rules)
{
    setRules(rules);
    loadRunTimes();
    loadStates();
}

void OwnerService::setRules(const scheduling::FleetRules &rules)
{
    m_core.setRules(rules, bootNow());
    m_hostService.setRules(rules);
    keepAliveAssigned();
    schedulePlan();
}

void OwnerService::setEvacuated(const std::set<std::string> &dataCentres)
{
    m_core.setEvacuated(dataCentres);
    schedulePlan();
}

void OwnerService::storeRecovered()
{
    m_jobWatcher.restartWatch();
    m_targetWatcher.restartWatch();
    schedulePlan();
}

void OwnerService::retryLater(std::function<void()> action)
{
    detail::callAfter(m_context, retryPause, m_alive, std::move(action));
}

// States are listed before jobs: a job that is submitted in between still has its initial state,
// and one that is cancelled in between is not listed any more.
void OwnerService::loadStates()
{
    m_store.list(std::string(statePrefix),
                 [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
                     if (alive.expired()) {
                         return;
                     }
                     if (reply.outcome != StoreOutcome::Done) {
                         return retryLater([this] { loadStates(); });
                     }
                     for (const auto &item : reply.items) {
                         if (const auto id = jobIdFromKey(item.key, statePrefix)) {
                             m_states.emplace(*id, item);
                         }
                     }
                     loadOrderedTargets();
                 });
}

void OwnerService::loadOrderedTargets()
{
    m_store.get(std::string(orderedTargetsKey),
                [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
                    if (alive.expired()) {
                        return;
                    }
                    if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                        m_orderedTargets.setRevision(reply.items.front().revision);
                        const auto targets = decodeOrderedTargets(reply.items.front().value);
                        if (!targets) {
                            logEvent(recordUnreadable, "key={}", orderedTargetsKey);
                        } else {
                            for (const auto &id : targets.value().ids) {
                                m_core.targetRestored(id, bootNow());
                            }
                            m_core.restoreSettledIncarnations(targets.value().settled);
                        }
                    } else if (reply.outcome != StoreOutcome::NotFound) {
                        return retryLater([this] { loadOrderedTargets(); });
                    }
                    m_jobWatcher.start();
                    tick();
                });
}

void OwnerService::applyJobItems(const std::vector<platform::StoreItem> &items,
                                 platform::StoreRevision storeRevision, bool isSnapshot)
{
    const WorkMeter::Span span(m_work, WorkKind::Jobs);
    const auto now = bootNow();
    if (isSnapshot) {
        std::unordered_set<JobNumber> listed;
        for (const auto &item : items) {
            if (const auto id = jobIdFromKey(item.key, jobPrefix)) {
                listed.insert(*id);
            }
        }
        for (const auto id : m_core.jobs()) {
            if (!listed.contains(id) && m_core.arrivedBefore(id, storeRevision)) {
                m_core.jobCancelled(id, now);
                m_endedJobs.emplace_back(now + recordRetention(m_settings), id);
            }
        }
    }
    for (const auto &item : items) {
        const auto id = jobIdFromKey(item.key, jobPrefix);
        if (!id) {
            continue;
        }
        if (!item.deleted) {
            applyJobItem(item);
        } else if (m_core.hasJob(*id)) {
            m_core.jobCancelled(*id, now);
            m_endedJobs.emplace_back(now + recordRetention(m_settings), *id);
        }
    }
    if (isSnapshot && !std::exchange(m_areTargetsLoaded, true)) {
        for (const auto &[id, item] : m_states) {
            m_endedJobs.emplace_back(now + recordRetention(m_settings), id);
        }
        m_states.clear();
        logEvent(ownerLoaded, "term={} jobs={} at={}", m_tenure.term, m_core.jobs().size(),
                 storeRevision);
        m_targetWatcher.start();
        m_hostService.start();
    }
    keepAliveAssigned();
    schedulePlan();
}

void OwnerService::applyJobItem(const platform::StoreItem &item)
{
    auto submission = decodeSubmission(item.value);
    if (!submission) {
        logEvent(recordUnreadable, "key={} revision={}", item.key, item.revision);
        return;
    }
    const auto id = submission.value().id;
    scheduling::JobProgress progress;
    auto revision = item.revision;
    if (const auto state = m_states.find(id); state != m_states.end()) {
        revision = state->second.revision;
        if (auto stored = decodeProgress(state->second.value)) {
            progress = std::move(stored).value();
        } else {
            logEvent(recordUnreadable, "key={} revision={}", state->second.key, revision);
        }
        m_states.erase(state);
    }
    m_core.jobArrived(std::move(submission).value(), std::move(progress), revision, item.revision,
                      item.revision > m_tenure.revision, bootNow(), wallNow());
}

void OwnerService::applyTargetItems(const std::vector<platform::StoreItem> &items,
                                    platform::StoreRevision storeRevision, bool isSnapshot)
{
    static_cast<void>(storeRevision);
    const WorkMeter::Span span(m_work, WorkKind::Targets);
    const auto now = bootNow();
    const auto prefix = platform::targetsPrefix.size();
    if (isSnapshot) {
        m_core.forgetUnassignedTargets();
        std::unordered_set<std::string> listed;
        for (const auto &item : items) {
            listed.insert(item.key.substr(std::min(prefix, item.key.size())));
        }
        for (const auto &id : m_core.targetsToKeepAlive()) {
            if (!listed.contains(id)) {
                m_core.targetUnlisted(id, now);
            }
        }
    }
    for (const auto &item : items) {
        if (item.key.size() <= prefix) {
            continue;
        }
        const auto id = item.key.substr(prefix);
        auto target = item.deleted ? std::nullopt : platform::decodeTarget(item.key, item.value);
        if (target) {
            m_core.targetListed(*target, now);
            keepAliveListed(id);
        } else {
            if (!item.deleted) {
                logEvent(recordUnreadable, "key={} revision={}", item.key, item.revision);
            }
            m_core.targetUnlisted(id, now);
        }
    }
    recordTargets();
    schedulePlan();
}

// Stores the ids of targets before they get their first order, so that a later owner asks all of
// them for their runs.
void OwnerService::recordTargets()
{
    if (m_orderedTargets.isWriting() || !m_areTargetsLoaded || !isHeld()) {
        return;
    }
    const bool isNew = m_core.hasUnrecordedTargets();
    if (!isNew && bootNow() - m_targetsRecordedAt <= targetsRecordInterval) {
        return;
    }
    // A later owner waits for every recorded target, so that targets that are gone are removed
    // soon.
    const OrderedTargets targets{m_core.targetsToRecord(), m_core.settledIncarnations(bootNow())};
    if (!isNew && targets == m_recordedTargets) {
        m_targetsRecordedAt = bootNow();
        return;
    }
    m_orderedTargets.write(encodeOrderedTargets(targets), [this, targets](bool isStored) {
        if (!isStored) {
            return retryLater([this] { recordTargets(); });
        }
        m_recordedTargets = targets;
        m_targetsRecordedAt = bootNow();
        for (const auto &id : targets.ids) {
            m_core.targetRecorded(id);
        }
        schedulePlan();
    });
}

void OwnerService::keepAliveAssigned()
{
    const auto ids = m_core.takeAssignedTargets();
    for (const auto &id : ids) {
        logEvent(targetAssigned, "target={}", id);
        keepAliveListed(id);
    }
    if (!ids.empty()) {
        recordTargets();
    }
}

void OwnerService::keepAliveListed(const std::string &id)
{
    if (m_core.target(id) != nullptr && !m_keepAliveLoops.contains(id)) {
        m_keepAliveLoops.emplace(id, std::make_unique<KeepAliveLoop>(m_context));
        keepAlive(id);
    }
}

void OwnerService::keepAlive(const std::string &id)
{
    const auto found = m_keepAliveLoops.find(id);
    if (found == m_keepAliveLoops.end() || found->second->isCalling) {
        return;
    }
    const auto now = bootNow();
    const auto *target = m_core.target(id);
    const auto order = target == nullptr ? std::nullopt : m_core.keepAliveOrder(id, now);
    if (!order) {
        m_keepAliveLoops.erase(found);
        return;
    }
    if (!isHeld()) {
        return keepAliveAfter(id, keepAliveRetryPause);
    }
    auto call = platform::keepAliveCall(*target, *order);
    call.timeout = order->wait + order->timeout;
    call.replyDelay = order->wait;
    call.peerCheck->timeout = order->timeout;
    call.connectTimeout = connectTimeout;
    call.isPermitted = m_ownership.makeOwnershipCheck(m_alive);
    found->second->isCalling = true;
    m_http.send(std::move(call), [this, id, now, token = order->token,
                                  alive = std::weak_ptr(m_alive)](const auto &result) {
        if (!alive.expired()) {
            handleKeepAliveReply(id, result, token, now);
        }
    });
}

void OwnerService::keepAliveAfter(const std::string &id, Duration delay)
{
    auto &loop = *m_keepAliveLoops.at(id);
    loop.timer.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(delay));
    loop.timer.async_wait([this, id, alive = std::weak_ptr(m_alive)](const auto &error) {
        if (!error && !alive.expired()) {
            keepAlive(id);
        }
    });
}

void OwnerService::handleKeepAliveReply(const std::string &id, const net::HttpCallResult &result,
                                        std::uint64_t token, TimePoint sentAt)
{
    const auto found = m_keepAliveLoops.find(id);
    if (found == m_keepAliveLoops.end()) {
        return;
    }
    const WorkMeter::Span span(m_work, WorkKind::KeepAlives);
    auto &loop = *found->second;
    loop.isCalling = false;
    auto answer = platform::decodeKeepAliveReply(result);
    if (answer.isFenced && token < m_core.fencingToken(id)) {
        // The call was for an earlier incarnation of the target.
        return keepAlive(id);
    }
    if (answer.isFenced) {
        return m_ownership.resign("a target has seen an owner with a higher term");
    }
    if (!answer.report) {
        m_core.keepAliveFailed(id, bootNow());
        if (++loop.failures == 1) {
            logEvent(targetUnreachable, "target={} reason=\"{}\"", id, answer.failure);
        }
        schedulePlan();
        if (loop.failures == 1) {
            // Retries at once: after a single lost call most targets answer the next one.
            return keepAlive(id);
        }
        const bool isQuick = !answer.isWrongTarget && loop.failures < maxQuickKeepAliveRetries;
        return keepAliveAfter(id, isQuick ? keepAliveRetryPause : slowKeepAliveRetryPause);
    }
    if (std::exchange(loop.failures, 0) > 0) {
        logEvent(targetRecovered, "target={}", id);
    }
    answer.report->token = token;
    m_core.keepAliveAnswered(id, *answer.report, sentAt, bootNow());
    schedulePlan();
    const auto pause = m_core.keepAliveDelay(id, m_loopDelay);
    pause.count() == 0 ? keepAlive(id) : keepAliveAfter(id, pause);
}

void OwnerService::schedulePlan()
{
    if (std::exchange(m_isPlanScheduled, true)) {
        return;
    }
    m_planTimer.expires_after(std::clamp<asio::steady_timer::duration>(
            planDelayFactor * m_planDuration, minPlanDelay, maxPlanDelay));
    m_planTimer.async_wait([this, alive = std::weak_ptr(m_alive)](const auto &error) {
        if (!error && !alive.expired()) {
            plan();
        }
    });
}

void OwnerService::plan()
{
    m_isPlanScheduled = false;
    if (!isHeld() || !m_areTargetsLoaded) {
        return;
    }
    const auto began = std::chrono::steady_clock::now();
    const auto orders = m_core.plan(bootNow(), wallNow());
    m_planDuration = std::chrono::steady_clock::now() - began;
    m_work.add(WorkKind::Plan, m_planDuration);
    for (const auto &order : orders) {
        const WorkMeter::Span span(m_work, WorkKind::Orders);
        send(order);
    }
    flushIfDue();
}

void OwnerService::tick()
{
    recordTargets();
    plan();
    purgeEndedJobs();
    if (isHeld()) {
        m_tombstoneCollector.tick(bootNow());
    }
    storeRunTimes();
    logWork();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this, due = bootNow() + tickInterval,
                            alive = std::weak_ptr(m_alive)](const auto &error) {
        if (!error && !alive.expired()) {
            m_loopDelay = std::max<Duration>(bootNow() - due, Duration{});
            tick();
        }
    });
}

void OwnerService::logWork()
{
    const auto now = bootNow();
    if (now - m_workLoggedAt < workLogInterval) {
        return;
    }
    m_workLoggedAt = now;
    logEvent(ownerWork, "term={} count_and_ms=\"{}\"", m_tenure.term, m_work.takeText());
}

void OwnerService::logDecision(const scheduling::Decision &decision)
{
    using Kind = scheduling::Decision::Kind;
    static constexpr NamedValue<Kind> entries[] = {
            {Kind::Started, "started"},
            {Kind::Ended, "ended"},
            {Kind::LeaseExpired, "lapsed"},
            {Kind::RunLost, "vanished"},
            {Kind::StartRefused, "start-refused"},
            {Kind::JobEnded, "job-ended"},
            {Kind::TargetQuarantined, "target-avoided"},
            {Kind::TargetRestarted, "target-reborn"},
            {Kind::Preempted, "preempted"},
            {Kind::Stalled, "stalled"},
            {Kind::Adopted, "adopted"},
            {Kind::Evacuated, "evacuated"},
            {Kind::AttemptsExhausted, "attempts-exhausted"},
            {Kind::AttemptLimitUnknown, "attempt-limit-unknown"},
            {Kind::Reserved, "target-reserved"},
            {Kind::ReservationReleased, "reservation-released"},
            {Kind::Copied, "copied"},
            {Kind::CopyStopped, "copy-stopped"},
    };
    static constexpr NameTable names{entries};
    m_metrics.count(fmt::format(R"(decisions_total{{what="{}"}})", names.name(decision.kind)));
    if (decision.waited) {
        m_metrics.observe("start_wait_seconds", *decision.waited);
    }
    if (decision.kind == Kind::JobEnded) {
        logEvent(jobEnded, "job={} how={} term={}", platform::formatJobId(decision.task.job),
                 decision.detail, m_tenure.term);
        return;
    }
    logEvent(taskDecision,
             "job={} task={}.{}.{} attempt={} target={} what={} detail=\"{}\" term={}",
             platform::formatJobId(decision.task.job), decision.task.occurrence, decision.task.step,
             decision.task.index, decision.attempt, decision.target, names.name(decision.kind),
             decision.detail, m_tenure.term);
}

} // namespace cyclamenlatch::control
