// Stands before the callers' interface and tells the report how each request of a known
// workspace and queue ended. Mistakes of the caller (wrong key, malformed request) count for
// nobody's service level.
// Lock order: m_mutex is the only lock and is never held over a call to the outside.
#pragma once

#include "fleet/fleetdocument.h"
#include "net/httpserver.h"
#include "report/outcomeobserver.h"

#include <memory>
#include <mutex>

namespace cyclamenlatch::app {

class OutcomeWatch
{
public:
    explicit OutcomeWatch(report::OutcomeObserver observer)
        : m_observer(std::move(observer))
    {}

    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // The responder to answer the request with.
    net::HttpResponder watch(const net::HttpRequest &request, net::HttpResponder respond);

private:
    report::OutcomeObserver m_observer;
    std::mutex m_mutex;
    // Guarded by m_mutex; the document itself never changes.
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
};

} // namespace cyclamenlatch::app
