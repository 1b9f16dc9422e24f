// Starts and orders the processes of a test fleet.
#include "tests/integration/testfleet.h"
#include "net/sendandwait.h"
#include "tests/integration/ownaddress.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <future>
#include <thread>
#include <unistd.h>

namespace cyclamenlatch::testing {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds pollInterval{50};
constexpr std::chrono::seconds callTimeout{20};
constexpr int callerPort = 7100;
constexpr int peerPort = 7200;
constexpr const char *callerKey = "k-1.secret";
// BLAKE2b-256 of "secret".
constexpr const char *callerKeyHash =
        "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e";

std::string dataCentreOf(std::size_t index)
{
    return fmt::format("dc-{}", static_cast<char>('a' + index % 3));
}

CallerAnswer readAnswer(const net::HttpCallResult &result)
{
    CallerAnswer answer;
    if (!result.reply) {
        return answer;
    }
    answer.status = result.reply->status;
    answer.outcome = std::string(result.reply->headers.find("Cyclamenlatch-Outcome").value_or(""));
    answer.body = json::parse(result.reply->body, nullptr, false);
    return answer;
}

} // namespace

TestFleet::TestFleet(unsigned entriesPerDataCentre, unsigned minions)
{
    m_platform = std::make_unique<ChildProcess>(
            std::vector<std::string>{PLATFORM_PROGRAM, "--port", "0"});
    m_platformUrl = "http://127.0.0.1:" + m_platform->waitFor("port ");
    std::string links;
    for (unsigned index = 0; index < minions; ++index) {
        m_minions.push_back(std::make_unique<ChildProcess>(std::vector<std::string>{
                MINION_PROGRAM, "--port", "0", "--name", fmt::format("w-{}", index)}));
        m_minionPorts.push_back(m_minions.back()->waitFor("port "));
        links += fmt::format("{}w-{}=tcp:127.0.0.1:0:127.0.0.1:{}", index == 0 ? "" : ",", index,
                             m_minionPorts.back());
    }
    m_proxy = std::make_unique<ChildProcess>(
            std::vector<std::string>{PROXY_PROGRAM, "--port", "0", "--links", links});
    m_proxyUrl = "http://127.0.0.1:" + m_proxy->waitFor("port ");
    putFleet();
    for (std::size_t index = 0; index < std::size_t{3} * entriesPerDataCentre; ++index) {
        const auto address = ownAddress(index);
        m_entries.push_back({fmt::format("e-{}", index), dataCentreOf(index), address,
                             fmt::format("http://{}:{}", address, callerPort), nullptr});
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        startEntry(index);
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        await([&] { return isReady(index); });
    }
}

TestFleet::~TestFleet() = default;

void TestFleet::putFleet()
{
    auto fleet = fmt::format("dataCentres: [{{name: dc-a}}, {{name: dc-b}}, {{name: dc-c}}]\n"
                             "pools: [{{name: p}}]\n"
                             "services: [{{name: s, pool: p, maxUnavailable: 1}}]\n"
                             "queues:\n"
                             "  - {{name: once, service: s, timeoutMs: 10000}}\n"
                             "  - {{name: again, service: s, timeoutMs: 10000, idempotent: true}}\n"
                             "workspaces: [{{name: drivers, limit: 24}}]\n"
                             "keys: [{{name: k-1, workspace: drivers, hash: {}}}]\n"
                             "workers:\n",
                             callerKeyHash);
    const auto ports = callForJson("GET", m_proxyUrl + "/links");
    for (std::size_t index = 0; index < m_minions.size(); ++index) {
        const auto name = fmt::format("w-{}", index);
        fleet += fmt::format("  - {{name: {}, dataCentre: {}, rack: r-{}, pool: p, "
                             "minion: \"127.0.0.1:{}\", slots: 8}}\n",
                             name, dataCentreOf(index), index, ports.at(name).get<int>());
    }
    call("PUT", m_platformUrl + "/v1/kv/config/fleet?expected=0", fleet);
}

std::string TestFleet::settingsOf(const EntryProcess &entry) const
{
    std::string seeds;
    for (const auto &other : m_entries) {
        seeds += fmt::format("    - {{entry: {}, dataCentre: {}, address: {}, port: {}}}\n",
                             other.name, other.dataCentre, other.address, peerPort);
    }
    return fmt::format("entry: {}\ndataCentre: {}\n"
                       "callers: {{address: {}, port: {}}}\n"
                       "peers:\n  address: {}\n  port: {}\n  secret: {}\n  seeds:\n{}"
                       "platform: {}\nthreads: 2\ndrainDelayMs: 500\n",
                       entry.name, entry.dataCentre, entry.address, callerPort, entry.address,
                       peerPort, ownSecret(), seeds, m_platformUrl);
}

void TestFleet::startEntry(std::size_t index)
{
    auto &entry = m_entries[index];
    const auto path = fmt::format("{}/{}-{}.yaml", ::testing::TempDir(), entry.name, getpid());
    std::ofstream(path) << settingsOf(entry);
    entry.process = std::make_unique<ChildProcess>(
            std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path});
}

void TestFleet::killEntry(std::size_t index)
{
    m_entries[index].process->kill(SIGKILL);
}

void TestFleet::stopEntry(std::size_t index)
{
    m_entries[index].process->kill(SIGTERM);
}

void TestFleet::pauseEntry(std::size_t index)
{
    m_entries[index].process->signal(SIGSTOP);
}

void TestFleet::resumeEntry(std::size_t index)
{
    m_entries[index].process->signal(SIGCONT);
}

bool TestFleet::isReady(std::size_t index)
{
    const auto result = call("GET", m_entries[index].url + "/readyz");
    return result.reply && result.reply->status == 200;
}

net::HttpCallResult TestFleet::call(const std::string &method, const std::string &url,
                                    const std::string &body)
{
    net::HttpCall request;
    request.method = method;
    request.url = url;
    request.body = body;
    request.timeout = callTimeout;
    return net::sendAndWait(m_http, std::move(request));
}

json TestFleet::callForJson(const std::string &method, const std::string &url,
                            const std::string &body)
{
    const auto result = call(method, url, body);
    return result.reply ? json::parse(result.reply->body, nullptr, false) : json();
}

void TestFleet::submitLater(std::size_t entry, const std::string &queue, const std::string &nonce,
                            int workMs, const std::string &idempotencyKey,
                            std::function<void(CallerAnswer)> completion)
{
    net::HttpCall request;
    request.method = "POST";
    request.url = fmt::format("{}/v1/queues/{}/requests", m_entries[entry].url, queue);
    request.body = json{{"nonce", nonce}, {"workMs", workMs}}.dump();
    request.timeout = callTimeout;
    request.headers.add("Authorization", fmt::format("Bearer {}", callerKey));
    if (!idempotencyKey.empty()) {
        request.headers.add("Idempotency-Key", idempotencyKey);
    }
    m_http.send(std::move(request),
                [completion = std::move(completion)](const net::HttpCallResult &result) {
                    completion(readAnswer(result));
                });
}

CallerAnswer TestFleet::submit(std::size_t entry, const std::string &queue,
                               const std::string &nonce, int workMs,
                               const std::string &idempotencyKey)
{
    std::promise<CallerAnswer> promise;
    submitLater(entry, queue, nonce, workMs, idempotencyKey,
                [&promise](CallerAnswer answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
}

void TestFleet::setPlatform(const json &order)
{
    call("POST", m_platformUrl + "/control", order.dump());
}

void TestFleet::setLink(std::size_t minion, const json &order)
{
    call("POST", fmt::format("{}/links/w-{}", m_proxyUrl, minion), order.dump());
}

void TestFleet::actOnLink(std::size_t minion, const std::string &action)
{
    call("POST", fmt::format("{}/links/w-{}/{}", m_proxyUrl, minion, action));
}

void TestFleet::setMinion(std::size_t minion, const json &order)
{
    call("POST", fmt::format("http://127.0.0.1:{}/control", m_minionPorts[minion]), order.dump());
}

std::uint64_t TestFleet::ledgerSum(const std::string &field)
{
    std::uint64_t sum = 0;
    for (const auto &port : m_minionPorts) {
        const auto ledger = callForJson("GET", fmt::format("http://127.0.0.1:{}/ledger", port));
        sum += ledger.at(field).get<std::uint64_t>();
    }
    return sum;
}

std::uint64_t TestFleet::runsOf(const std::string &nonce)
{
    std::uint64_t runs = 0;
    for (const auto &port : m_minionPorts) {
        const auto answer =
                callForJson("GET", fmt::format("http://127.0.0.1:{}/runs?nonce={}", port, nonce));
        runs += answer.at("runs").get<std::uint64_t>();
    }
    return runs;
}

void TestFleet::await(const std::function<bool()> &condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace cyclamenlatch::testing
