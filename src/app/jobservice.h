// What an entry runs for long-lived jobs: the callers' routes and the controller.
#pragma once

#include "callerapi/jobroutes.h"
#include "jobs/jobcontroller.h"
#include "jobs/jobdesk.h"
#include "platform/taskclient.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>

namespace cyclamenlatch::app {

class JobService
{
public:
    JobService(asio::io_context &context, platform::StoreClient &store, net::HttpClient &http,
               const std::string &platformUrl, quota::QuotaTable &quota,
               jobs::JobControllerSettings settings)
        : m_desk(store)
        , m_routes(m_desk)
        , m_tasks(http, platformUrl, taskCallTimeout)
        , m_controller(context, store, m_tasks, quota, std::move(settings))
    {}

    void setFleet(const std::shared_ptr<const fleet::FleetDocument> &fleet)
    {
        m_routes.setFleet(fleet);
        m_controller.setFleet(fleet);
    }
    callerapi::JobRoutes &routes() { return m_routes; }
    void start() { m_controller.start(); }
    void stop() { m_controller.stop(); }

private:
    static constexpr std::chrono::milliseconds taskCallTimeout{2000};

    jobs::JobDesk m_desk;
    callerapi::JobRoutes m_routes;
    platform::TaskClient m_tasks;
    jobs::JobController m_controller;
};

} // namespace cyclamenlatch::app
