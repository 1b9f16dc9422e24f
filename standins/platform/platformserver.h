// HTTP face of the stand-in platform. Counts every call; POST /control sets faults.
// Lock order: m_mutex is the only lock and is never held while a reply is sent.
#pragma once

#include "net/httpserver.h"
#include "standins/platform/hostserver.h"
#include "standins/platform/storemodel.h"
#include "standins/platform/taskserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenlatch::standins {

class PlatformServer
{
public:
    explicit PlatformServer(asio::io_context &context);

    void handle(net::HttpRequest request, net::HttpResponder respond);

private:
    struct PendingWatch
    {
        std::string prefix;
        store::StoreRevision after = 0;
        TimePoint expiry;
        net::HttpResponder respond;
    };
    struct Faults
    {
        // Every call is answered with 503.
        bool outage = false;
        // Every answer is held back this long.
        std::chrono::milliseconds delay{0};
        // The next writes take effect, but their answers are lost.
        unsigned loseWriteAnswers = 0;
        // Calls answered per second, over which calls get 429; 0: no bound.
        double callsPerSecond = 0;
    };

    // Returns the refusal when a fault or the call rate forbids an answer.
    std::optional<net::HttpReply> refuse();
    // The store that reads are answered from.
    const StoreModel &readModel() const;
    net::HttpReply withRevision(net::HttpReply reply);
    net::HttpReply answer(const net::HttpRequest &request);
    net::HttpReply answerKey(const net::HttpRequest &request, const std::string &key);
    net::HttpReply answerLease(const net::HttpRequest &request);
    net::HttpReply answerControl(const net::HttpRequest &request);
    void startWatch(const net::HttpRequest &request, net::HttpResponder respond);
    void answerWatches();
    void tick();
    void deliver(net::HttpReply reply, net::HttpResponder respond);

    asio::io_context &m_context;
    HostServer m_hosts;
    asio::steady_timer m_timer;
    // Locks for itself; never called under m_mutex.
    TaskServer m_tasks;
    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    StoreModel m_store;
    // Reads and watches are answered from this old state while it is set.
    std::optional<StoreModel> m_oldStore;
    Faults m_faults;
    // Calls that may be answered now under the call rate.
    double m_allowance = 0;
    TimePoint m_allowanceAt{};
    std::list<PendingWatch> m_watches;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_refused = 0;
};

} // namespace cyclamenlatch::standins
