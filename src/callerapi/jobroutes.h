// The jobs' part of the callers' interface: POST /v1/queues/{queue}/jobs, and GET and DELETE
// /v1/jobs/{id}. A job is answered for only to keys of its own workspace.
#pragma once

#include "admission/keygate.h"
#include "fleet/fleetdocument.h"
#include "jobs/jobdesk.h"
#include "net/httpserver.h"

#include <memory>
#include <mutex>

namespace cyclamenlatch::callerapi {

class JobRoutes
{
public:
    explicit JobRoutes(jobs::JobDesk &desk)
        : m_desk(desk)
    {}

    // Refuses withdrawn keys, as for requests. Set before requests come in.
    void setKeyGate(const admission::KeyGate *gate) { m_keyGate = gate; }
    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);

    static bool isJobPath(const std::string &path);
    // Takes requests of which isJobPath is true.
    void handle(const net::HttpRequest &request, net::HttpResponder respond);

private:
    void submit(const fleet::FleetDocument &fleet, const net::HttpRequest &request,
                net::HttpResponder respond);
    void showOrCancel(const fleet::FleetDocument &fleet, const net::HttpRequest &request,
                      net::HttpResponder respond);

    Result<jobs::JobSubmission> readSubmission(const fleet::FleetDocument &fleet,
                                               const net::HttpRequest &request) const;

    jobs::JobDesk &m_desk;
    const admission::KeyGate *m_keyGate = nullptr;
    std::mutex m_mutex;
    // Guarded by m_mutex; the document itself never changes.
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
};

} // namespace cyclamenlatch::callerapi
