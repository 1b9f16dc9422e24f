// Who may hand in jobs. Refusals come before the store is asked, so none is needed here.
#include "callerapi/jobroutes.h"

#include "admission/keysecret.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace cyclamenlatch::callerapi {
namespace {

class JobRoutesTest : public ::testing::Test
{
protected:
    JobRoutesTest()
        : m_store(m_context, m_http, {})
        , m_desk(m_store)
        , m_routes(m_desk)
    {
        fleet::FleetDocument fleet;
        fleet::Queue queue;
        queue.id = QueueId("q");
        queue.open = true;
        fleet.queues = {queue};
        fleet.workspaces = {{WorkspaceId("drivers"), 1, 4}};
        fleet.keys = {{KeyId("k-1"), WorkspaceId("drivers"), admission::hashSecret("secret")}};
        m_gate.setEvidence([] { return steadyNow(); }, std::chrono::seconds(10));
        m_routes.setKeyGate(&m_gate);
        m_routes.setFleet(std::make_shared<const fleet::FleetDocument>(fleet));
    }

    int statusOf(const std::string &method, const std::string &path, const std::string &key)
    {
        net::HttpRequest request;
        request.method = method;
        request.path = path;
        if (!key.empty()) {
            request.headers.add("Authorization", "Bearer " + key);
        }
        std::optional<int> status;
        m_routes.handle(request, [&status](const net::HttpReply &reply) { status = reply.status; });
        return status.value_or(0);
    }

    asio::io_context m_context;
    net::HttpClient m_http;
    store::StoreClient m_store;
    jobs::JobDesk m_desk;
    JobRoutes m_routes;
    admission::KeyGate m_gate;
};

TEST_F(JobRoutesTest, refusesWithdrawnKey)
{
    m_gate.addWithdrawn({KeyId("k-1")});
    EXPECT_EQ(statusOf("POST", "/v1/queues/q/jobs", "k-1.secret"), 401);
    EXPECT_EQ(statusOf("GET", "/v1/jobs/j1", "k-1.secret"), 401);
    EXPECT_EQ(statusOf("DELETE", "/v1/jobs/j1", "k-1.secret"), 401);
}

TEST_F(JobRoutesTest, refusesJobWithoutWorkspace)
{
    EXPECT_EQ(statusOf("POST", "/v1/queues/q/jobs", ""), 401);
    EXPECT_EQ(statusOf("POST", "/v1/queues/none/jobs", "k-1.secret"), 404);
    EXPECT_EQ(statusOf("PUT", "/v1/jobs/j1", "k-1.secret"), 400);
}

} // namespace
} // namespace cyclamenlatch::callerapi
