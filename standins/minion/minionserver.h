// The stand-in minion: starts everything it is given and keeps a ledger of what ran for whom.
// Lock order: m_mutex is the only lock and is never held while a reply is sent.
#pragma once

#include "global/time.h"
#include "net/httpserver.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace cyclamenlatch::standins {

// What a minion does wrong on purpose.
struct MinionFaults
{
    // Answers every request with status 500 at once.
    bool failFast = false;
    // Refuses with "Minion-Started: no".
    bool refuse = false;
    // Answers with the id of another request.
    bool crossAnswers = false;
    // Is rebooting: answers nothing with success.
    bool down = false;
    // Multiplies the time that work takes.
    double slowdown = 1;
};

class MinionServer
{
public:
    MinionServer(asio::io_context &context, std::string name);

    void handle(net::HttpRequest request, net::HttpResponder respond);

private:
    struct WorkspaceLedger
    {
        unsigned running = 0;
        unsigned mostRunning = 0;
        std::uint64_t runs = 0;
    };

    // Counts the open connections that brought work or probes.
    void noteConnection(const std::shared_ptr<net::ConnectionWatch> &connection);
    void run(net::HttpRequest request, net::HttpResponder respond);
    // Says whether the request that a probe names still runs here.
    net::HttpReply answerHealth(const net::HttpRequest &request);
    void finish(const std::string &requestId, const std::string &workspace,
                const std::string &nonce, const net::HttpResponder &respond);
    net::HttpReply answerLedger();
    // How often the work of the nonce was started here.
    net::HttpReply answerRuns(const std::string &nonce);
    net::HttpReply answerControl(const net::HttpRequest &request);

    asio::io_context &m_context;
    std::string m_name;
    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    MinionFaults m_faults;
    unsigned m_running = 0;
    unsigned m_mostRunning = 0;
    std::set<std::weak_ptr<net::ConnectionWatch>, std::owner_less<>> m_connections;
    std::size_t m_mostConnections = 0;
    // Work that was running when the minion went down.
    unsigned m_cut = 0;
    // Work that was sent while the minion was down.
    unsigned m_sentWhileDown = 0;
    unsigned m_reboots = 0;
    std::set<std::string> m_runningIds;
    // Runs by nonce of the work; more than one is a duplicate run.
    std::map<std::string, unsigned> m_runsByNonce;
    std::map<std::string, WorkspaceLedger> m_workspaces;
};

} // namespace cyclamenlatch::standins
