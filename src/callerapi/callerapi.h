// The callers' HTTP interface: takes requests and relays whole answers with their outcome.
#pragma once

#include "dispatch/dispatcher.h"
#include "fleet/fleetdocument.h"
#include "net/httpserver.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace cyclamenlatch::callerapi {

class CallerApi
{
public:
    explicit CallerApi(dispatch::Dispatcher &dispatcher);

    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // A leaving entry answers /readyz with 503, so that the balancer sends callers elsewhere.
    void setLeaving() { m_leaving = true; }
    // Requests that have no reply yet.
    std::size_t inFlight() const { return m_inFlight; }

    void handle(net::HttpRequest request, net::HttpResponder respond);

private:
    void handleRequest(const QueueId &queueId, net::HttpRequest request,
                       net::HttpResponder respond);
    std::shared_ptr<const fleet::FleetDocument> currentFleet();

    dispatch::Dispatcher &m_dispatcher;
    std::mutex m_mutex;
    // Guarded by m_mutex; the document itself never changes.
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
    std::atomic<bool> m_leaving = false;
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<std::uint64_t> m_nextRequest = 1;
};

} // namespace cyclamenlatch::callerapi
