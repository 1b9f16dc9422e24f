// Configuration and keys with real processes: a platform, a minion and three entries in three
// data centres. Waits are for events; the test's own time limit bounds them.
#include "net/httpclient.h"
#include "net/sendandwait.h"
#include "tests/integration/ownaddress.h"
#include "tests/jobs/childprocess.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <functional>
#include <memory>
#include <thread>

namespace cyclamenlatch {
namespace {

using nlohmann::json;
using testing::ChildProcess;
using testing::ownAddress;

// The hash is the BLAKE2b-256 of "secret".
constexpr const char *secretHash =
        "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e";
constexpr std::size_t entryCount = 3;

constexpr unsigned peerPort = 7300;
constexpr unsigned operatorPort = 7400;

class ConfigurationProcesses : public ::testing::Test
{
protected:
    ConfigurationProcesses()
        : m_platform({PLATFORM_PROGRAM, "--port", "0"})
        , m_platformUrl("http://127.0.0.1:" + m_platform.waitFor("port "))
        , m_minion({MINION_PROGRAM, "--port", "0", "--name", "w-1"})
        , m_minionPort(m_minion.waitFor("port "))
    {}

    struct Answer
    {
        int status = 0;
        std::string body;
    };

    Answer call(const std::string &method, const std::string &url, const std::string &body = "",
                const std::string &key = "")
    {
        net::HttpCall call;
        call.method = method;
        call.url = url;
        call.body = body;
        call.timeout = std::chrono::seconds(20);
        call.headers.add("Authorization", "Bearer " + key);
        const auto result = net::sendAndWait(m_http, std::move(call));
        return result.reply ? Answer{result.reply->status, result.reply->body} : Answer{};
    }

    Answer operate(std::size_t entry, const std::string &method, const std::string &path,
                   const std::string &body = "")
    {
        return call(method, fmt::format("http://{}:{}{}", ownAddress(entry), operatorPort, path),
                    body, "ana.secret");
    }

    int request(std::size_t entry, const std::string &key, const std::string &queue = "q")
    {
        const auto url = fmt::format("{}/v1/queues/{}/requests", m_callerUrls[entry], queue);
        return call("POST", url, "x", key).status;
    }

    std::string fleet(unsigned limit) const
    {
        return fmt::format("dataCentres: [{{name: dc-0}}, {{name: dc-1}}, {{name: dc-2}}]\n"
                           "pools: [{{name: p}}]\n"
                           "services: [{{name: s, pool: p, maxUnavailable: 0}}]\n"
                           "queues:\n"
                           "  - {{name: q, service: s, timeoutMs: 2000}}\n"
                           "  - {{name: notices, service: s, open: true}}\n"
                           "workspaces: [{{name: drivers, limit: {}}}]\n"
                           "keys: [{{name: k-1, workspace: drivers, hash: {}}}]\n"
                           "workers: [{{name: w-1, dataCentre: dc-0, rack: r, pool: p, minion: "
                           "\"127.0.0.1:{}\"}}]\n",
                           limit, secretHash, m_minionPort);
    }

    void startEntry(std::size_t index)
    {
        const auto path = fmt::format("{}/e-{}-{}.yaml", ::testing::TempDir(), index, getpid());
        std::ofstream file(path);
        file << fmt::format("entry: e-{0}\ndataCentre: dc-{0}\nplatform: {1}\nthreads: 2\n"
                            "callers: {{address: 127.0.0.1, port: 0}}\n"
                            "operators: {{address: {2}, port: {5}, keys: [{{name: ana, "
                            "role: operate, hash: {3}}}]}}\n"
                            "peers:\n  address: {2}\n  port: {4}\n  secret: {6}\n  seeds:\n",
                            index, m_platformUrl, ownAddress(index), secretHash, peerPort,
                            operatorPort, testing::ownSecret());
        for (std::size_t peer = 0; peer < entryCount; ++peer) {
            file << fmt::format("    - {{entry: e-{0}, dataCentre: dc-{0}, address: {1}, "
                                "port: {2}}}\n",
                                peer, ownAddress(peer), peerPort);
        }
        file.close();
        m_entries[index] = std::make_unique<ChildProcess>(
                std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path});
        m_callerUrls[index] = "http://127.0.0.1:" + m_entries[index]->waitFor(" on 127.0.0.1:");
    }

    void startAll()
    {
        for (std::size_t index = 0; index < entryCount; ++index) {
            startEntry(index);
        }
        const auto applied = operate(0, "PUT", "/v1/fleet?from=0", fleet(30));
        ASSERT_EQ(applied.status, 200) << applied.body;
        for (std::size_t index = 0; index < entryCount; ++index) {
            await([&] { return request(index, "k-1.secret") == 200; });
        }
    }

    // How often the minion has started work for the workspace.
    std::uint64_t minionRuns(const std::string &workspace)
    {
        const auto url = fmt::format("http://127.0.0.1:{}/ledger", m_minionPort);
        const auto ledger = json::parse(call("GET", url).body);
        return ledger.at("workspaces").at(workspace).at("runs").get<std::uint64_t>();
    }

    static void await(const std::function<bool()> &condition)
    {
        while (!condition()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    std::uint64_t revision(std::size_t entry)
    {
        return json::parse(operate(entry, "GET", "/v1/fleet").body).at("revision");
    }

    ChildProcess m_platform;
    std::string m_platformUrl;
    ChildProcess m_minion;
    std::string m_minionPort;
    std::array<std::unique_ptr<ChildProcess>, entryCount> m_entries;
    std::array<std::string, entryCount> m_callerUrls;
    net::HttpClient m_http;
};

TEST_F(ConfigurationProcesses, oneOfTwoRacingOperatorsWinsAndTheOtherIsToldWhatChanged)
{
    startAll();
    const auto base = revision(0);
    const auto path = fmt::format("/v1/fleet?from={}", base);
    const auto first = operate(0, "PUT", path, fleet(31));
    ASSERT_EQ(first.status, 200) << first.body;
    EXPECT_TRUE(json::parse(first.body).at("spread").at("everywhere").get<bool>()) << first.body;
    const auto second = operate(1, "PUT", path, fleet(32));
    EXPECT_EQ(second.status, 409);
    const auto told = json::parse(second.body);
    ASSERT_EQ(told.at("changes").size(), 1U) << second.body;
    EXPECT_EQ(told.at("changes")[0].at("name"), "drivers");
    for (std::size_t index = 0; index < entryCount; ++index) {
        EXPECT_EQ(revision(index), json::parse(first.body).at("revision"));
    }
}

TEST_F(ConfigurationProcesses, startsFromPeersAndRefusesWithdrawnKeyWhileTheStoreIsDown)
{
    startAll();
    call("POST", m_platformUrl + "/control", R"({"outage": true})");
    const auto before = revision(0);

    // A replaced entry takes the configuration from its peers.
    m_entries[2]->kill(SIGKILL);
    startEntry(2);
    await([&] { return call("GET", m_callerUrls[2] + "/readyz").status == 200; });
    EXPECT_EQ(revision(2), before);
    await([&] { return request(2, "", "notices") == 200; });
    // It holds no unit of the limit, since its earlier life may still have work running and only
    // the store can tell them apart; so it admits the key and truly runs nothing for it.
    const auto runs = minionRuns("drivers");
    const auto refused = request(2, "k-1.secret");
    EXPECT_TRUE(refused == 429 || refused == 503 || refused == 504) << refused;
    EXPECT_EQ(minionRuns("drivers"), runs);
    // The entries that hold units go on.
    EXPECT_EQ(request(0, "k-1.secret"), 200);
    EXPECT_EQ(request(1, "k-1.secret"), 200);

    // Told at one entry, refused at every one, although the store can't take it.
    const auto withdrawn = operate(1, "DELETE", "/v1/keys/k-1");
    ASSERT_EQ(withdrawn.status, 200) << withdrawn.body;
    const auto answer = json::parse(withdrawn.body);
    EXPECT_FALSE(answer.at("durable").get<bool>());
    EXPECT_TRUE(answer.at("spread").at("everywhere").get<bool>()) << withdrawn.body;
    for (std::size_t index = 0; index < entryCount; ++index) {
        EXPECT_EQ(request(index, "k-1.secret"), 401);
    }

    // Durable once the store is back; then it survives the replacement of every entry.
    call("POST", m_platformUrl + "/control", R"({"outage": false})");
    await([&] {
        return json::parse(operate(1, "DELETE", "/v1/keys/k-1").body).at("durable").get<bool>();
    });
    for (auto &entry : m_entries) {
        entry->kill(SIGKILL);
    }
    startEntry(0);
    await([&] { return call("GET", m_callerUrls[0] + "/readyz").status == 200; });
    EXPECT_EQ(request(0, "k-1.secret"), 401);
}

} // namespace
} // namespace cyclamenlatch
