// The callers' HTTP interface: takes requests and relays whole answers with their outcome.
#pragma once

#include "admission/keygate.h"
#include "callerapi/requestmetrics.h"
#include "dispatch/dispatcher.h"
#include "dispatch/outcomeservice.h"
#include "fleet/fleetdocument.h"
#include "net/httpserver.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace cyclamenlatch::callerapi {

class CallerApi
{
public:
    CallerApi(dispatch::Dispatcher &dispatcher, dispatch::OutcomeService &outcomes);

    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // Refuses withdrawn keys and, while a withdrawal may have been missed, all keys. Set before
    // requests come in.
    void setKeyGate(const admission::KeyGate *gate) { m_keyGate = gate; }
    // Tells why there is no configuration yet. Set before requests come in.
    void setUnreadyReason(std::function<std::string()> reason)
    {
        m_unreadyReason = std::move(reason);
    }
    // A leaving entry answers /readyz with 503, so that the balancer sends callers elsewhere.
    void setLeaving() { m_leaving = true; }
    // From now on requests are refused as not-run, so that none is open when the server stops.
    void setRefusing() { m_refusing = true; }
    // Requests that have no reply yet.
    std::size_t inFlight() const { return m_inFlight; }

    void handle(net::HttpRequest request, net::HttpResponder respond);

private:
    // A request that was admitted, on its way to its reply.
    struct Admitted
    {
        dispatch::DispatchRequest work;
        std::chrono::milliseconds timeout{0};
        std::optional<dispatch::IdempotencyKey> key;
        std::shared_ptr<net::ConnectionWatch> connection;
        net::HttpResponder respond;
        TimePoint arrivedAt;
    };

    void handleRequest(const QueueId &queueId, net::HttpRequest request,
                       net::HttpResponder respond);
    Result<Admitted> admit(const QueueId &queueId, net::HttpRequest &request,
                           const std::string &requestId);
    void claim(std::shared_ptr<Admitted> admitted);
    void run(std::shared_ptr<Admitted> admitted, std::optional<dispatch::ClaimTicket> claimTicket);
    void reply(const Admitted &admitted, dispatch::DispatchAnswer answer);
    std::string metricsText() const;
    std::shared_ptr<const fleet::FleetDocument> currentFleet();

    dispatch::Dispatcher &m_dispatcher;
    dispatch::OutcomeService &m_outcomes;
    RequestMetrics m_metrics;
    const admission::KeyGate *m_keyGate = nullptr;
    std::function<std::string()> m_unreadyReason;
    std::mutex m_mutex;
    // Guarded by m_mutex; the document itself never changes.
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_refusing = false;
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<std::uint64_t> m_nextRequest = 1;
};

} // namespace cyclamenlatch::callerapi
