// A platform, entries and one minion as real processes on loopback, and callers that flood them.
#pragma once

#include "net/sendandwait.h"
#include "tests/integration/ownaddress.h"
#include "tests/jobs/childprocess.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <thread>

namespace cyclamenlatch::testing {

// Entries e-0, e-1, ... in data centres of their own, with peer ports derived from the process id.
class Processes
{
public:
    Processes(unsigned entries, unsigned limit)
        : m_platform({PLATFORM_PROGRAM, "--port", "0"})
        , m_minion({MINION_PROGRAM, "--port", "0", "--name", "w-1"})
        , m_platformUrl("http://127.0.0.1:" + m_platform.waitFor("port "))
        , m_minionAddress("127.0.0.1:" + m_minion.waitFor("port "))
        , m_entries(entries)
        , m_urls(entries)
    {
        putFleet(limit);
        for (unsigned index = 0; index < entries; ++index) {
            startEntry(index);
        }
        for (const auto &url : m_urls) {
            await([&] { return status(url + "/readyz") == 200; });
        }
    }

    void startEntry(unsigned index)
    {
        const auto path = fmt::format("{}/e-{}-{}.yaml", ::testing::TempDir(), index, getpid());
        std::ofstream settings(path);
        settings << fmt::format("entry: e-{0}\ndataCentre: dc-{0}\n"
                                "callers: {{address: 127.0.0.1, port: 0}}\n"
                                "platform: {1}\nthreads: 2\nlongestWorkMs: 2000\n"
                                "peers:\n  address: 127.0.0.1\n  port: {2}\n  secret: {3}\n"
                                "  seeds:\n",
                                index, m_platformUrl, peerPort(index), ownSecret());
        for (unsigned other = 0; other < m_entries.size(); ++other) {
            settings << fmt::format("    - {{entry: e-{0}, dataCentre: dc-{0}, "
                                    "address: 127.0.0.1, port: {1}}}\n",
                                    other, peerPort(other));
        }
        settings.close();
        m_entries[index] = std::make_unique<ChildProcess>(
                std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path});
        m_urls[index] = "http://127.0.0.1:" + m_entries[index]->waitFor(" on 127.0.0.1:");
    }

    ChildProcess &entry(unsigned index) { return *m_entries[index]; }
    const std::vector<std::string> &urls() const { return m_urls; }

    // Most work of the workspace that ever ran at once, by the minion's own ledger.
    unsigned mostRunning(const std::string &workspace)
    {
        net::HttpCall call;
        call.url = fmt::format("http://{}/ledger", m_minionAddress);
        const auto result = net::sendAndWait(m_http, std::move(call));
        const auto ledger = nlohmann::json::parse(result.reply ? result.reply->body : "{}");
        const auto workspaces = ledger.value("workspaces", nlohmann::json::object());
        return workspaces.contains(workspace)
                       ? workspaces.at(workspace).at("mostRunning").get<unsigned>()
                       : 0;
    }

    // Asks again until the condition holds; the test's own time limit bounds it.
    static void await(const std::function<bool()> &condition)
    {
        while (!condition()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

private:
    static unsigned peerPort(unsigned index)
    {
        constexpr unsigned firstPort = 20000;
        constexpr unsigned blocks = 1000;
        constexpr unsigned portsPerBlock = 8;
        return firstPort + static_cast<unsigned>(getpid()) % blocks * portsPerBlock + index;
    }

    int status(const std::string &url)
    {
        net::HttpCall call;
        call.url = url;
        const auto result = net::sendAndWait(m_http, std::move(call));
        return result.reply ? result.reply->status : 0;
    }

    void putFleet(unsigned limit)
    {
        std::string dataCentres;
        for (unsigned index = 0; index < m_entries.size(); ++index) {
            dataCentres += fmt::format("{}{{name: dc-{}}}", index > 0 ? ", " : "", index);
        }
        net::HttpCall call;
        call.method = "PUT";
        call.url = m_platformUrl + "/v1/kv/config/fleet?expected=0";
        // The hash is the BLAKE2b-256 of "secret".
        call.body = fmt::format(R"(dataCentres: [{}]
pools: [{{name: p}}]
services: [{{name: s, pool: p}}]
queues: [{{name: q, service: s, timeoutMs: 1000}}]
workspaces: [{{name: drivers, limit: {}}}]
keys:
  - {{name: k-1, workspace: drivers, hash: ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e}}
workers:
  - {{name: w-1, dataCentre: dc-0, rack: r-1, pool: p, minion: "{}", slots: 64}}
)",
                                dataCentres, limit, m_minionAddress);
        const auto result = net::sendAndWait(m_http, std::move(call));
        ASSERT_TRUE(result.reply);
        ASSERT_EQ(result.reply->status, 200);
    }

    net::HttpClient m_http;
    ChildProcess m_platform;
    ChildProcess m_minion;
    std::string m_platformUrl;
    std::string m_minionAddress;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
    std::vector<std::string> m_urls;
};

// Callers that hand in one request after the other until this ends.
class Flood
{
public:
    Flood(std::vector<std::string> urls, unsigned callers)
        : m_urls(std::move(urls))
    {
        for (unsigned caller = 0; caller < callers; ++caller) {
            send(caller);
        }
    }
    ~Flood()
    {
        m_stopping = true;
        while (m_open > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    Flood(const Flood &) = delete;
    Flood &operator=(const Flood &) = delete;

    unsigned completed() const { return m_completed; }

private:
    void send(unsigned caller)
    {
        ++m_open;
        net::HttpCall call;
        call.method = "POST";
        call.url = m_urls[caller % m_urls.size()] + "/v1/queues/q/requests";
        call.body = R"({"workMs": 100})";
        call.timeout = std::chrono::seconds(3);
        call.headers.add("Authorization", "Bearer k-1.secret");
        m_http.send(std::move(call), [this, caller](const net::HttpCallResult &result) {
            m_completed += result.reply && result.reply->status == 200 ? 1 : 0;
            if (!m_stopping) {
                send(caller + (result.reply ? 0 : 1));
            }
            --m_open;
        });
    }

    std::vector<std::string> m_urls;
    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_open = 0;
    std::atomic<unsigned> m_completed = 0;
    // Declared last, so that its completions end before what they use does.
    net::HttpClient m_http;
};

} // namespace cyclamenlatch::testing
