// What an entry runs for long-lived jobs: the callers' routes and the controller.
#pragma once

#include "callerapi/jobroutes.h"
#include "jobs/jobcontroller.h"
#include "jobs/jobdesk.h"
#include "membership/peerbus.h"
#include "store/taskclient.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>

namespace cyclamenlatch::app {

class JobService
{
public:
    JobService(asio::io_context &context, store::StoreClient &store, net::HttpClient &http,
               const std::string &platformUrl, quota::QuotaTable &quota,
               jobs::JobControllerSettings settings, membership::PeerBus &peers)
        : m_desk(store)
        , m_routes(m_desk)
        , m_tasks(http, platformUrl, taskCallTimeout)
        , m_controller(context, store, m_tasks, quota, std::move(settings))
        , m_peers(peers)
    {
        m_controller.setWaitingListener([this](const jobs::WaitingMessage &message) {
            m_desk.takeWaiting(message);
            m_peers.sendToAll(membership::PeerTopic::Jobs, membership::encode(message));
        });
    }

    // Call before the peer bus starts.
    void subscribe()
    {
        m_peers.subscribe(
                membership::PeerTopic::Jobs, [this](const membership::PeerMessage &message) {
                    const auto waiting = membership::decode<jobs::WaitingMessage>(message.body);
                    if (waiting) {
                        m_desk.takeWaiting(*waiting);
                    }
                });
    }

    void setFleet(const std::shared_ptr<const fleet::FleetDocument> &fleet)
    {
        m_routes.setFleet(fleet);
        m_controller.setFleet(fleet);
    }
    callerapi::JobRoutes &routes() { return m_routes; }
    jobs::JobDesk &desk() { return m_desk; }
    jobs::JobController &controller() { return m_controller; }
    void start() { m_controller.start(); }
    void stop() { m_controller.stop(); }

private:
    static constexpr std::chrono::milliseconds taskCallTimeout{2000};

    jobs::JobDesk m_desk;
    callerapi::JobRoutes m_routes;
    store::TaskClient m_tasks;
    jobs::JobController m_controller;
    membership::PeerBus &m_peers;
};

} // namespace cyclamenlatch::app
