// A whole fleet of real processes: a platform, entries in three data centres, and minions behind
// the fault proxy. The minions' own ledgers are the judges.
#pragma once

#include "net/httpclient.h"
#include "tests/jobs/childprocess.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::testing {

// What a caller was told.
struct CallerAnswer
{
    // "completed", "not-run", "unknown", or empty when there was no whole reply.
    std::string outcome;
    int status = 0;
    nlohmann::json body;
};

class TestFleet
{
public:
    TestFleet(unsigned entriesPerDataCentre, unsigned minions);
    ~TestFleet();
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    // Entries are numbered from 0 over all data centres.
    void startEntry(std::size_t index);
    // SIGKILL.
    void killEntry(std::size_t index);
    // SIGTERM, and waits for the end.
    void stopEntry(std::size_t index);
    // SIGSTOP and SIGCONT: a paused entry is silent to its peers.
    void pauseEntry(std::size_t index);
    void resumeEntry(std::size_t index);
    std::size_t entryCount() const { return m_entries.size(); }
    bool isReady(std::size_t index);

    // Hands in work through an entry and waits for the answer. The nonce names the work in the
    // ledgers; an empty idempotency key sends none.
    CallerAnswer submit(std::size_t entry, const std::string &queue, const std::string &nonce,
                        int workMs, const std::string &idempotencyKey = "");
    // The same without waiting; the completion runs on the client's thread.
    void submitLater(std::size_t entry, const std::string &queue, const std::string &nonce,
                     int workMs, const std::string &idempotencyKey,
                     std::function<void(CallerAnswer)> completion);

    // Orders to the stand-ins.
    void setPlatform(const nlohmann::json &order);
    void setLink(std::size_t minion, const nlohmann::json &order);
    void actOnLink(std::size_t minion, const std::string &action);
    void setMinion(std::size_t minion, const nlohmann::json &order);
    // Sum over all minions of a field of their ledgers.
    std::uint64_t ledgerSum(const std::string &field);
    // How often the work of this nonce was started, over all minions.
    std::uint64_t runsOf(const std::string &nonce);

    // Asks again until the condition holds; the test's own time limit bounds it.
    static void await(const std::function<bool()> &condition);

private:
    struct EntryProcess
    {
        std::string name;
        std::string dataCentre;
        std::string address;
        std::string url;
        std::unique_ptr<ChildProcess> process;
    };

    net::HttpCallResult call(const std::string &method, const std::string &url,
                             const std::string &body = "");
    nlohmann::json callForJson(const std::string &method, const std::string &url,
                               const std::string &body = "");
    std::string settingsOf(const EntryProcess &entry) const;
    void putFleet();

    net::HttpClient m_http{256};
    std::unique_ptr<ChildProcess> m_platform;
    std::string m_platformUrl;
    std::vector<std::unique_ptr<ChildProcess>> m_minions;
    std::vector<std::string> m_minionPorts;
    std::unique_ptr<ChildProcess> m_proxy;
    std::string m_proxyUrl;
    std::vector<EntryProcess> m_entries;
};

} // namespace cyclamenlatch::testing
