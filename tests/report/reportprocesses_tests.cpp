// The report of a running entry counts what its callers were answered.
#include "net/httpclient.h"
#include "net/sendandwait.h"
#include "tests/integration/ownaddress.h"
#include "tests/jobs/childprocess.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <memory>
#include <thread>

namespace cyclamenlatch {
namespace {

using nlohmann::json;
using testing::ChildProcess;

net::HttpCallResult call(net::HttpClient &http, const std::string &method, const std::string &url,
                         const std::string &body, const std::string &key)
{
    net::HttpCall call;
    call.method = method;
    call.url = url;
    call.body = body;
    call.timeout = std::chrono::seconds(10);
    call.headers.add("Authorization", "Bearer " + key);
    return net::sendAndWait(http, std::move(call));
}

// A port that was free a moment ago.
std::uint16_t freePort()
{
    asio::io_context context;
    const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    return asio::ip::tcp::acceptor(context, any).local_endpoint().port();
}

TEST(ReportProcesses, countsWhatCallersWereAnswered)
{
    constexpr int requests = 4;
    // The BLAKE2b-256 of "secret".
    const std::string hash = "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e";
    net::HttpClient http;
    ChildProcess platform({PLATFORM_PROGRAM, "--port", "0"});
    const auto platformUrl = "http://127.0.0.1:" + platform.waitFor("port ");
    // No worker, so that every request ends as not run.
    call(http, "PUT", platformUrl + "/v1/kv/config/fleet?expected=0",
         "dataCentres: [{name: dc-a}]\npools: [{name: p}]\n"
         "services: [{name: swaps, pool: p, objective: 0.9}]\n"
         "queues: [{name: q, service: swaps, timeoutMs: 50}]\n"
         "workspaces: [{name: drivers, limit: 4}]\n"
         "keys: [{name: k-1, workspace: drivers, hash: "
                 + hash + "}]\nworkers: []\n",
         "");
    const auto path = ::testing::TempDir() + "/report-" + std::to_string(getpid()) + ".yaml";
    // Somebody else may take the port in between; then the entry ends, and another is tried.
    std::unique_ptr<ChildProcess> entry;
    std::string callerPort;
    std::uint16_t operatorPort = 0;
    while (callerPort.empty()) {
        operatorPort = freePort();
        std::ofstream(path) << "entry: e-a\ndataCentre: dc-a\n"
                               "callers: {address: 127.0.0.1, port: 0}\n"
                               "operators:\n  address: 127.0.0.1\n  port: "
                            << operatorPort << "\n  keys: [{name: o-1, role: read, hash: " << hash
                            << "}]\npeers: {address: 127.0.0.1, port: 0, secret: "
                            << testing::ownSecret() << "}\nplatform: " << platformUrl
                            << "\nthreads: 2\n";
        entry = std::make_unique<ChildProcess>(
                std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path});
        callerPort = entry->waitFor(" on 127.0.0.1:");
    }
    const auto url = "http://127.0.0.1:" + callerPort;
    while (call(http, "GET", url + "/readyz", "", "").reply->status != 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    for (int index = 0; index < requests; ++index) {
        const auto result = call(http, "POST", url + "/v1/queues/q/requests", "", "k-1.secret");
        EXPECT_EQ(result.reply->headers.find("Cyclamenlatch-Outcome"), "not-run");
    }
    // A wrong key is the caller's own mistake.
    call(http, "POST", url + "/v1/queues/q/requests", "", "k-1.wrong");

    const auto operatorUrl = "http://127.0.0.1:" + std::to_string(operatorPort);
    const auto reportUrl = operatorUrl + "/v1/report?output=json";
    const auto reply = call(http, "GET", reportUrl, "", "o-1.secret").reply;
    ASSERT_TRUE(reply.has_value());
    ASSERT_EQ(reply->status, 200) << reply->body;
    const auto report = json::parse(reply->body);
    const auto &row = report.at("burn").at(1);
    EXPECT_EQ(row.at("workspace"), "drivers");
    EXPECT_EQ(row.at("windows").at(0).at("bad"), requests);
    EXPECT_NEAR(row.at("windows").at(0).at("burnRate").get<double>(), 10, 1e-6);
    const auto page = call(http, "GET", operatorUrl + "/v1/report?output=html", "", "o-1.secret");
    EXPECT_NE(page.reply->body.find("<svg"), std::string::npos);
    EXPECT_EQ(call(http, "GET", reportUrl, "", "o-1.wrong").reply->status, 401);
}

} // namespace
} // namespace cyclamenlatch
