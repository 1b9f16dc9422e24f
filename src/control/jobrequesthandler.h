// What callers ask of this entry: to take a job, to show it, to cancel it, to count a queue's jobs.
// Every entry answers for every job, from the store. Runs on the context's one thread.
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
    JobRequestHandler(PlatformStoreClient &store, Metrics &metrics);

    // Takes a configuration that is newer than the one in force.
    void setRules(scheduling::FleetRules rules);
    bool hasRules() const { return m_rules.has_value(); }
    const std::optional<scheduling::FleetRules> &rules() const { return m_rules; }
    // Answers close their connections from now on, so that callers go elsewhere.
    void beginShutdown() { m_isShuttingDown = true; }

    void handle(net::HttpRequest request, net::HttpResponder respond);
    std::size_t openRequests() const { return m_openRequests; }

private:
    // One request on its way to its answer.
    struct PendingRequest
    {
        net::HttpResponder respond;
        // As it was when the request came; a newer configuration may drop it meanwhile.
        scheduling::QueueRule queue;
        std::string method;
        // Of the workspace whose key came with it; empty for a public queue.
        std::string workspace;
        scheduling::JobNumber id = 0;
        std::string body;
        TimePoint arrived{};
        TimePoint deadline{};
        // A try of it may have taken effect.
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
    void handleSubmissionReply(const PendingRequestPointer &pending,
                               const platform::StoreTransaction &transaction,
                               const platform::StoreReply &reply);
    void show(const PendingRequestPointer &pending);
    void cancel(const PendingRequestPointer &pending);
    void writeCancel(const PendingRequestPointer &pending, const platform::StoreItem &state);
    void countPending(const PendingRequestPointer &pending);
    bool canRetry(const PendingRequestPointer &pending);
    void answer(const PendingRequestPointer &pending, int status, std::string body);
    void refuse(const PendingRequestPointer &pending, int status, const std::string &why,
                const std::string &remedy);
    // 503 when it certainly did not take effect, 504 otherwise.
    void replyUnavailable(const PendingRequestPointer &pending, const std::string &why);
    void cachePhase(scheduling::JobNumber id, scheduling::JobPhase phase);

    PlatformStoreClient &m_store;
    Metrics &m_metrics;
    std::optional<scheduling::FleetRules> m_rules;
    // By key, the number of its workspace in the rules.
    std::unordered_map<std::string, std::size_t> m_keys;
    bool m_isShuttingDown = false;
    std::size_t m_openRequests = 0;
    // Phases last seen, for answers while the store is away; the oldest are forgotten first.
    std::unordered_map<scheduling::JobNumber, scheduling::JobPhase> m_phases;
    std::deque<scheduling::JobNumber> m_phaseOrder;
};

} // namespace cyclamenlatch::control
