// Serves callers' requests: submits, shows and cancels jobs and counts the waiting jobs of a queue.
// Every entry answers for every job, from the store. Runs on the event loop's only thread.
#pragma once

#include "control/platformstoreclient.h"
#include "net/httpreply.h"
#include "net/httprequest.h"
#include "net/httpserver.h"
#include "scheduling/fleetrules.h"
#include "scheduling/jobphase.h"
#include "scheduling/taskref.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenlatch::control {

class JobRequestHandler
{
public:
    // tombstoneRetention: how long a cancelled id that was not stored stays refused.
    JobRequestHandler(PlatformStoreClient &store, Metrics &metrics,
                      std::chrono::seconds tombstoneRetention);

    // Puts a configuration in force if it is newer than the current one; else does nothing.
    void setRules(scheduling::FleetRules rules);
    bool hasRules() const { return m_rules.has_value(); }
    const std::optional<scheduling::FleetRules> &rules() const { return m_rules; }
    // From now on every answer closes its connection, so that callers connect to another entry.
    void beginShutdown() { m_isShuttingDown = true; }

    void handle(net::HttpRequest request, net::HttpResponder respond);
    std::size_t openRequests() const { return m_openRequests; }

private:
    static constexpr std::chrono::seconds defaultRetryAfter{1};

    // A request that has not been answered yet.
    struct PendingRequest
    {
        net::HttpResponder respond;
        // Copy of the queue's rule on arrival; a newer configuration may remove the queue.
        scheduling::QueueRule queue;
        std::string method;
        // Name of the workspace whose key the request carries; empty without a known key.
        std::string workspace;
        scheduling::JobNumber id = 0;
        std::string body;
        TimePoint arrived{};
        TimePoint deadline{};
        // A write of this request may or may not have taken effect.
        bool isOutcomeUnknown = false;
        unsigned tries = 0;
    };
    using PendingRequestPointer = std::shared_ptr<PendingRequest>;

    const scheduling::QueueRule *findQueue(const net::HttpRequest &request) const;
    bool authorize(const net::HttpRequest &request, const scheduling::QueueRule &queue,
                   std::string &workspace) const;
    void route(const PendingRequestPointer &pending, std::string_view rest);
    void submit(const PendingRequestPointer &pending);
    void sendSubmission(const PendingRequestPointer &pending,
                        const platform::StoreTransaction &transaction);
    void sendChange(const PendingRequestPointer &pending,
                    const platform::StoreTransaction &transaction,
                    PlatformStoreClient::Completion completion);
    void handleSubmissionReply(const PendingRequestPointer &pending,
                               const platform::StoreTransaction &transaction,
                               const platform::StoreReply &reply);
    void show(const PendingRequestPointer &pending);
    void cancel(const PendingRequestPointer &pending);
    void writeCancel(const PendingRequestPointer &pending, const platform::StoreItem &state);
    // Makes a submission of the job that is still under way fail, then answers that there is no
    // such job.
    void writeTombstone(const PendingRequestPointer &pending);
    void cancelAgain(const PendingRequestPointer &pending, const platform::StoreReply &reply);
    void answerNoSuchJob(const PendingRequestPointer &pending);
    void countPending(const PendingRequestPointer &pending);
    bool canRetry(const PendingRequestPointer &pending);
    // retryAfter: sent with 503 and 429, as Retry-After.
    void answer(const PendingRequestPointer &pending, int status, std::string body,
                std::chrono::seconds retryAfter = defaultRetryAfter);
    void refuse(const PendingRequestPointer &pending, int status, const std::string &reason,
                const std::string &remedy, std::chrono::seconds retryAfter = defaultRetryAfter);
    // Answers 503 when the request certainly had no effect, 504 when its outcome is unknown.
    void replyUnavailable(const PendingRequestPointer &pending, const std::string &reason);
    void cachePhase(scheduling::JobNumber id, scheduling::JobPhase phase);

    PlatformStoreClient &m_store;
    Metrics &m_metrics;
    const std::chrono::seconds m_tombstoneRetention;
    std::optional<scheduling::FleetRules> m_rules;
    // Index into the workspaces of the rules, by workspace key.
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;
    bool m_isShuttingDown = false;
    std::size_t m_openRequests = 0;
    // Phases last read, for answers while the store is unavailable; the oldest are evicted first.
    std::unordered_map<scheduling::JobNumber, scheduling::JobPhase> m_phases;
    std::deque<scheduling::JobNumber> m_phaseOrder;
};

} // namespace cyclamenlatch::control
