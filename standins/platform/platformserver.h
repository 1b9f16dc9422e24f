// HTTP face of the stand-in platform. Counts every call; POST /control sets faults.
// Lock order: m_mutex is the only lock and is never held while a reply is sent.
#pragma once

#include "net/httpserver.h"
#include "standins/platform/storemodel.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <mutex>
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
        platform::StoreRevision after = 0;
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
    };

    net::HttpReply answer(const net::HttpRequest &request);
    net::HttpReply answerKey(const net::HttpRequest &request, const std::string &key);
    net::HttpReply answerLease(const net::HttpRequest &request);
    net::HttpReply answerControl(const net::HttpRequest &request);
    void startWatch(const net::HttpRequest &request, net::HttpResponder respond);
    void answerWatches();
    void tick();
    void deliver(net::HttpReply reply, net::HttpResponder respond);

    asio::io_context &m_context;
    asio::steady_timer m_timer;
    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    StoreModel m_store;
    Faults m_faults;
    std::list<PendingWatch> m_watches;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
};

} // namespace cyclamenlatch::standins
