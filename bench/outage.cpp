// What callers notice while the platform's store is down, and while it is slow. Real processes on
// loopback: a platform, an entry in each of three data centres, two minions; callers hand in
// requests at a fixed rate whatever is answered. Baselines: the same figures before the outage.
#include "bench/figure.h"
#include "global/quantile.h"
#include "global/time.h"
#include "net/sendandwait.h"
#include "tests/jobs/childprocess.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

DEFINE_int32(outage_seconds, 60, "how long the store is down, and then how long it is slow");
DEFINE_int32(before_seconds, 20, "how long is measured before");
DEFINE_int32(slow_ms, 1500, "how long the slow store holds each answer back");
DEFINE_int32(rate, 150, "requests a second over all entries");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;
using testing::ChildProcess;

constexpr unsigned entryCount = 3;
constexpr unsigned minionCount = 2;
constexpr unsigned firstPeerPort = 28300;
constexpr unsigned workMilliseconds = 20;
constexpr std::chrono::seconds callTimeout{10};
constexpr std::chrono::seconds settleTime{5};
// BLAKE2b-256 of "secret".
constexpr const char *keyHash = "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e";

net::HttpCall makeCall(const std::string &method, const std::string &url, const std::string &body)
{
    net::HttpCall call;
    call.method = method;
    call.url = url;
    call.body = body;
    call.timeout = callTimeout;
    return call;
}

class Fleet
{
public:
    Fleet()
    {
        std::string workers;
        for (unsigned index = 0; index < minionCount; ++index) {
            m_minions.push_back(std::make_unique<ChildProcess>(std::vector<std::string>{
                    MINION_PROGRAM, "--port", "0", "--name", fmt::format("w-{}", index)}));
            workers += fmt::format("  - {{name: w-{0}, dataCentre: dc-{0}, rack: r-{0}, pool: p, "
                                   "minion: \"127.0.0.1:{1}\"}}\n",
                                   index, m_minions.back()->waitFor("port "));
        }
        order("PUT", "/v1/kv/config/fleet?expected=0",
              fmt::format("dataCentres: [{{name: dc-0}}, {{name: dc-1}}, {{name: dc-2}}]\n"
                          "pools: [{{name: p}}]\nservices: [{{name: s, pool: p}}]\n"
                          "queues: [{{name: q, service: s, timeoutMs: 5000}}]\n"
                          "workspaces: [{{name: drivers, limit: 16}}]\n"
                          "keys: [{{name: k-1, workspace: drivers, hash: {}}}]\nworkers:\n{}",
                          keyHash, workers));
        for (unsigned index = 0; index < entryCount; ++index) {
            startEntry(index);
        }
        for (const auto &url : m_urls) {
            awaitReady(url);
        }
    }

    void order(const std::string &method, const std::string &path, const std::string &body)
    {
        const auto result = net::sendAndWait(m_http, makeCall(method, m_platformUrl + path, body));
        if (!result.reply || result.reply->status != 200) {
            std::cerr << "the platform refused " << path << ": " << result.failure << "\n";
            std::exit(1);
        }
    }

    const std::vector<std::string> &urls() const { return m_urls; }

private:
    void startEntry(unsigned index)
    {
        const auto path = fmt::format("/tmp/outage-e-{}-{}.yaml", index, getpid());
        std::string seeds;
        for (unsigned other = 0; other < entryCount; ++other) {
            seeds += fmt::format("    - {{entry: e-{0}, dataCentre: dc-{0}, address: 127.0.0.1, "
                                 "port: {1}}}\n",
                                 other, firstPeerPort + other);
        }
        std::ofstream(path) << fmt::format(
                "entry: e-{0}\ndataCentre: dc-{0}\ncallers: {{address: 127.0.0.1, port: 0}}\n"
                "platform: {1}\nthreads: 2\npeers:\n  address: 127.0.0.1\n  port: {2}\n"
                "  secret: bench\n  seeds:\n{3}",
                index, m_platformUrl, firstPeerPort + index, seeds);
        m_entries.push_back(std::make_unique<ChildProcess>(
                std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path}));
        m_urls.push_back("http://127.0.0.1:" + m_entries.back()->waitFor(" on 127.0.0.1:"));
        ::unlink(path.c_str());
    }

    void awaitReady(const std::string &url)
    {
        constexpr unsigned attempts = 300;
        for (unsigned attempt = 0; attempt < attempts; ++attempt) {
            const auto result = net::sendAndWait(m_http, makeCall("GET", url + "/readyz", ""));
            if (result.reply && result.reply->status == 200) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        std::cerr << url << " is not ready\n";
        std::exit(1);
    }

    net::HttpClient m_http;
    ChildProcess m_platform{{PLATFORM_PROGRAM, "--port", "0"}};
    std::string m_platformUrl = "http://127.0.0.1:" + m_platform.waitFor("port ");
    std::vector<std::unique_ptr<ChildProcess>> m_minions;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
    std::vector<std::string> m_urls;
};

struct Phase
{
    unsigned sent = 0;
    unsigned completed = 0;
    std::vector<double> milliseconds;
};

// Hands in requests at the rate and waits for the last answer.
Phase measure(const Fleet &fleet, std::chrono::seconds length)
{
    Phase phase;
    std::mutex mutex;
    std::atomic<unsigned> open = 0;
    net::HttpClient http(256);
    const auto begin = steadyNow();
    const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / FLAGS_rate;
    for (auto due = begin; due < begin + length; due += interval) {
        std::this_thread::sleep_until(due);
        auto call =
                makeCall("POST", fleet.urls()[phase.sent % entryCount] + "/v1/queues/q/requests",
                         fmt::format(R"({{"workMs": {}}})", workMilliseconds));
        call.headers.add("Authorization", "Bearer k-1.secret");
        ++phase.sent;
        ++open;
        http.send(std::move(call), [&, due](const net::HttpCallResult &result) {
            const std::lock_guard lock(mutex);
            if (result.reply && result.reply->status == 200) {
                ++phase.completed;
                phase.milliseconds.push_back(toSeconds(steadyNow() - due) * 1000);
            }
            --open;
        });
    }
    while (open > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return phase;
}

void printPhase(const std::string &name, const Phase &phase, const Phase &before)
{
    const auto share = [](const Phase &of) {
        return static_cast<double>(of.completed) / static_cast<double>(of.sent);
    };
    print({"outage", name + "-answered", share(phase), "of requests", share(before),
           "no difference", 0});
    for (const auto &[label, part] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
        print({"outage", fmt::format("{}-{}", name, label), quantile(phase.milliseconds, part),
               "ms", quantile(before.milliseconds, part), "no difference", 0});
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Fleet fleet;
    measure(fleet, settleTime);
    const auto before = measure(fleet, std::chrono::seconds(FLAGS_before_seconds));
    fleet.order("POST", "/control", R"({"outage": true})");
    printPhase("down", measure(fleet, std::chrono::seconds(FLAGS_outage_seconds)), before);
    fleet.order("POST", "/control", R"({"outage": false})");
    measure(fleet, settleTime);
    fleet.order("POST", "/control", fmt::format(R"({{"delayMs": {}}})", FLAGS_slow_ms));
    printPhase("slow", measure(fleet, std::chrono::seconds(FLAGS_outage_seconds)), before);
    fleet.order("POST", "/control", R"({"delayMs": 0})");
    printPhase("afterwards", measure(fleet, std::chrono::seconds(FLAGS_before_seconds)), before);
    return 0;
}
