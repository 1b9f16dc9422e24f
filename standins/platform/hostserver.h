// HTTP face of the platform's hosts. A reboot stops the host's minion for its time.
// GET and POST /control/hosts show and set the hosts themselves.
// Lock order: m_mutex is the only lock and is never held while a call is made.
#pragma once

#include "net/httpclient.h"
#include "net/httpreply.h"
#include "net/httprequest.h"
#include "standins/platform/hostmodel.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <mutex>
#include <string>

namespace cyclamenlatch::standins {

class HostServer
{
public:
    explicit HostServer(asio::io_context &context);

    // Whether the path is about hosts.
    static bool handles(const std::string &path);
    net::HttpReply answer(const net::HttpRequest &request);

private:
    net::HttpReply answerReboot(const net::HttpRequest &request);
    net::HttpReply answerControl(const net::HttpRequest &request);
    void setDown(const std::string &minion, bool down);
    void tick();

    asio::steady_timer m_timer;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    HostModel m_model;
    net::HttpClient m_http;
};

} // namespace cyclamenlatch::standins
