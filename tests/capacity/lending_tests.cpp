// Demand on one pool makes the spare pool of real processes lend a worker; judged by the leader's
// log and by the minions' own ledgers.
#include "net/sendandwait.h"
#include "tests/jobs/childprocess.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <memory>
#include <thread>

namespace cyclamenlatch {
namespace {

using testing::ChildProcess;

constexpr unsigned entries = 2;
constexpr unsigned minions = 3;

unsigned peerPort(unsigned index)
{
    constexpr unsigned firstPort = 29000;
    constexpr unsigned blocks = 400;
    return firstPort + static_cast<unsigned>(getpid()) % blocks * entries + index;
}

class LendingFleet
{
public:
    LendingFleet()
        : m_platform({PLATFORM_PROGRAM, "--port", "0"})
        , m_platformUrl("http://127.0.0.1:" + m_platform.waitFor("port "))
    {
        for (unsigned index = 0; index < minions; ++index) {
            m_minions.push_back(std::make_unique<ChildProcess>(std::vector<std::string>{
                    MINION_PROGRAM, "--port", "0", "--name", fmt::format("w-{}", index)}));
            m_minionUrls.push_back("127.0.0.1:" + m_minions.back()->waitFor("port "));
        }
        putFleet();
        for (unsigned index = 0; index < entries; ++index) {
            startEntry(index);
        }
    }

    // The leader of the moves, by the lease in the store.
    unsigned leader()
    {
        for (;;) {
            const auto item = get(m_platformUrl + "/v1/kv/pool-leaders/fleet");
            if (item.is_object() && item.contains("value")) {
                // The store's client writes a line of its own before the value.
                return item.at("value").get<std::string>().ends_with("e-0") ? 0 : 1;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    ChildProcess &entry(unsigned index) { return *m_entries[index]; }
    const std::string &url(unsigned index) const { return m_urls[index]; }

    nlohmann::json get(const std::string &url)
    {
        net::HttpCall call;
        call.url = url;
        const auto result = net::sendAndWait(m_http, std::move(call));
        return nlohmann::json::parse(result.reply ? result.reply->body : "", nullptr, false);
    }

    int status(const std::string &url)
    {
        net::HttpCall call;
        call.url = url;
        const auto result = net::sendAndWait(m_http, std::move(call));
        return result.reply ? result.reply->status : 0;
    }

    unsigned runsOn(unsigned minion)
    {
        const auto ledger = get(fmt::format("http://{}/ledger", m_minionUrls[minion]));
        return ledger.at("runs").get<unsigned>();
    }

private:
    void startEntry(unsigned index)
    {
        const auto path = fmt::format("{}/lend-{}-{}.yaml", ::testing::TempDir(), index, getpid());
        std::ofstream settings(path);
        settings << fmt::format("entry: e-{0}\ndataCentre: dc-a\n"
                                "callers: {{address: 127.0.0.1, port: 0}}\n"
                                "platform: {1}\nthreads: 2\n"
                                "peers:\n  address: 127.0.0.1\n  port: {2}\n  secret: s\n"
                                "  seeds:\n    - {{entry: e-{3}, dataCentre: dc-a, "
                                "address: 127.0.0.1, port: {4}}}\n",
                                index, m_platformUrl, peerPort(index), 1 - index,
                                peerPort(1 - index));
        settings.close();
        m_entries.push_back(std::make_unique<ChildProcess>(
                std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path}));
        m_urls.push_back("http://127.0.0.1:" + m_entries.back()->waitFor(" on 127.0.0.1:"));
    }

    void putFleet()
    {
        std::string workers;
        for (unsigned index = 0; index < minions; ++index) {
            workers += fmt::format("  - {{name: w-{0}, dataCentre: dc-a, rack: r-{0}, pool: {1}, "
                                   "minion: \"{2}\", slots: 2}}\n",
                                   index, index == 0 ? "swaps" : "spare", m_minionUrls[index]);
        }
        net::HttpCall call;
        call.method = "PUT";
        call.url = m_platformUrl + "/v1/kv/config/fleet?expected=0";
        call.body = "dataCentres: [{name: dc-a}]\n"
                    "pools:\n  - {name: swaps}\n  - {name: spare, spare: true, moveSeconds: 1}\n"
                    "services: [{name: swaps, pool: swaps}]\n"
                    "queues: [{name: q, service: swaps, open: true, timeoutMs: 20000}]\n"
                    "workers:\n"
                    + workers;
        const auto result = net::sendAndWait(m_http, std::move(call));
        ASSERT_TRUE(result.reply);
        ASSERT_EQ(result.reply->status, 200);
    }

    net::HttpClient m_http;
    ChildProcess m_platform;
    std::string m_platformUrl;
    std::vector<std::unique_ptr<ChildProcess>> m_minions;
    std::vector<std::string> m_minionUrls;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
    std::vector<std::string> m_urls;
};

// Callers that each hand in one request after the other.
class Callers
{
public:
    Callers(std::string url, unsigned count)
        : m_url(std::move(url))
    {
        for (unsigned index = 0; index < count; ++index) {
            send();
        }
    }
    ~Callers()
    {
        m_stopping = true;
        while (m_open > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    unsigned failed() const { return m_failed; }

private:
    void send()
    {
        ++m_open;
        net::HttpCall call;
        call.method = "POST";
        call.url = m_url + "/v1/queues/q/requests";
        call.body = R"({"workMs": 100})";
        call.timeout = std::chrono::seconds(30);
        m_http.send(std::move(call), [this](const net::HttpCallResult &result) {
            const bool good = result.reply && result.reply->status == 200;
            m_failed += good ? 0 : 1;
            if (good && !m_stopping) {
                send();
            }
            --m_open;
        });
    }

    std::string m_url;
    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_open = 0;
    std::atomic<unsigned> m_failed = 0;
    // Declared last, so that its completions end before what they use does.
    net::HttpClient m_http{64};
};

TEST(Lending, demandOnOnePoolMakesTheSparePoolGiveAWorker)
{
    LendingFleet fleet;
    const auto leader = fleet.leader();
    for (unsigned index = 0; index < entries; ++index) {
        while (fleet.status(fleet.url(index) + "/readyz") != 200) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }
    EXPECT_EQ(fleet.runsOn(1) + fleet.runsOn(2), 0U);
    // All through the entry that does not lead: the leader learns of the demand from its peer.
    Callers callers(fleet.url(1 - leader), 24);
    const auto decided = fleet.entry(leader).waitFor("E1504 move-decided: moved ");
    EXPECT_NE(decided.find(" from spare to swaps: expected wait saved "), std::string::npos)
            << decided;
    const auto moved = fleet.entry(leader).waitFor("E1503 worker-moved: ");
    EXPECT_NE(moved.find(" is serving in swaps, should be in swaps"), std::string::npos)
            << fleet.entry(leader).printed();
    while (fleet.runsOn(1) + fleet.runsOn(2) == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(callers.failed(), 0U);
}

} // namespace
} // namespace cyclamenlatch
