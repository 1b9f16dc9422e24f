// A platform, minions w-0, w-1, ... and entries e-0, e-1, ... of data centre dc-a as real processes
// on loopback, with the fleet document that the test writes.
#pragma once

#include "net/sendandwait.h"
#include "tests/integration/ownaddress.h"
#include "tests/jobs/childprocess.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cyclamenlatch::testing {

class FleetProcesses
{
public:
    // Writes the document's YAML, given the minions' addresses.
    using Document = std::function<std::string(const std::vector<std::string> &)>;

    FleetProcesses(unsigned entries, unsigned minions, const Document &document)
        : m_platform({PLATFORM_PROGRAM, "--port", "0"})
        , m_platformUrl("http://127.0.0.1:" + m_platform.waitFor("port "))
        , m_entries(entries)
        , m_urls(entries)
    {
        for (unsigned index = 0; index < minions; ++index) {
            m_minions.push_back(std::make_unique<ChildProcess>(std::vector<std::string>{
                    MINION_PROGRAM, "--port", "0", "--name", fmt::format("w-{}", index)}));
            m_minionAddresses.push_back("127.0.0.1:" + m_minions.back()->waitFor("port "));
        }
        put("config/fleet", document(m_minionAddresses));
    }

    void startEntry(unsigned index)
    {
        const auto path = fmt::format("{}/fleet-{}-{}.yaml", ::testing::TempDir(), index, getpid());
        std::ofstream settings(path);
        settings << fmt::format("entry: e-{0}\ndataCentre: dc-a\n"
                                "callers: {{address: 127.0.0.1, port: 0}}\n"
                                "platform: {1}\nthreads: 2\ndrainDelayMs: 100\n"
                                "peers:\n  address: 127.0.0.1\n  port: {2}\n  secret: {3}\n"
                                "  seeds:\n",
                                index, m_platformUrl, peerPort(index), ownSecret());
        for (unsigned other = 0; other < m_entries.size(); ++other) {
            settings << fmt::format("    - {{entry: e-{}, dataCentre: dc-a, "
                                    "address: 127.0.0.1, port: {}}}\n",
                                    other, peerPort(other));
        }
        settings.close();
        m_entries[index] = std::make_unique<ChildProcess>(
                std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path});
        m_urls[index] = "http://127.0.0.1:" + m_entries[index]->waitFor(" on 127.0.0.1:");
        await([&] { return status("GET", m_urls[index] + "/readyz") == 200; });
    }

    ChildProcess &entry(unsigned index) { return *m_entries[index]; }
    const std::string &url(unsigned index) const { return m_urls[index]; }

    // Asks again until the condition holds; the test's own time limit bounds it.
    static void await(const std::function<bool()> &condition)
    {
        while (!condition()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    int status(const std::string &method, const std::string &url, const std::string &body = "")
    {
        const auto result = call(method, url, body);
        return result.reply ? result.reply->status : 0;
    }

    nlohmann::json get(const std::string &url)
    {
        const auto result = call("GET", url, "");
        return nlohmann::json::parse(result.reply ? result.reply->body : "", nullptr, false);
    }

    // Sent with all calls from now on.
    void useKey(std::string key) { m_key = std::move(key); }

    // Hands in a job; returns its id.
    std::string submitJob(unsigned entry, const std::string &queue, const std::string &body)
    {
        const auto result = call("POST", m_urls[entry] + "/v1/queues/" + queue + "/jobs", body);
        EXPECT_EQ(result.reply ? result.reply->status : 0, 202);
        return nlohmann::json::parse(result.reply ? result.reply->body : "{}").value("id", "");
    }

    // A key of the platform's store; its value is empty when there is none.
    std::pair<std::string, std::uint64_t> stored(const std::string &key)
    {
        const auto item = get(m_platformUrl + "/v1/kv/" + key);
        if (!item.is_object() || !item.contains("value")) {
            return {"", 0};
        }
        // The store's client writes a line of its own before the value.
        const auto text = item.at("value").get<std::string>();
        const auto begin = text.starts_with("#attempt:") ? text.find('\n') + 1 : 0;
        return {text.substr(begin), item.at("revision").get<std::uint64_t>()};
    }

    void put(const std::string &key, const std::string &value)
    {
        const auto url =
                fmt::format("{}/v1/kv/{}?expected={}", m_platformUrl, key, stored(key).second);
        ASSERT_EQ(status("PUT", url, value), 200) << key;
    }

    // Lets the platform know the hosts, so that it can reboot them.
    void addHosts()
    {
        nlohmann::json hosts = nlohmann::json::array();
        for (std::size_t index = 0; index < m_minionAddresses.size(); ++index) {
            hosts.push_back({{"name", fmt::format("w-{}", index)},
                             {"minion", "http://" + m_minionAddresses[index]}});
        }
        const nlohmann::json order{{"hosts", hosts}, {"rebootMs", 200}, {"lagMs", 100}};
        ASSERT_EQ(status("POST", m_platformUrl + "/control/hosts", order.dump()), 200);
    }

    unsigned ledgerOf(unsigned minion, const std::string &field)
    {
        return get(fmt::format("http://{}/ledger", m_minionAddresses[minion]))
                .at(field)
                .get<unsigned>();
    }

private:
    net::HttpCallResult call(const std::string &method, const std::string &url,
                             const std::string &body)
    {
        net::HttpCall call;
        call.method = method;
        call.url = url;
        call.body = body;
        if (!m_key.empty()) {
            call.headers.add("Authorization", "Bearer " + m_key);
        }
        call.headers.add("Job-Processors", "1");
        return net::sendAndWait(m_http, std::move(call));
    }

    static unsigned peerPort(unsigned index)
    {
        constexpr unsigned firstPort = 29000;
        constexpr unsigned blocks = 400;
        constexpr unsigned portsPerBlock = 4;
        return firstPort + static_cast<unsigned>(getpid()) % blocks * portsPerBlock + index;
    }

    net::HttpClient m_http;
    std::string m_key;
    ChildProcess m_platform;
    std::string m_platformUrl;
    std::vector<std::unique_ptr<ChildProcess>> m_minions;
    std::vector<std::string> m_minionAddresses;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
    std::vector<std::string> m_urls;
};

} // namespace cyclamenlatch::testing
