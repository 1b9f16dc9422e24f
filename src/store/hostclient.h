// Client of the platform's hosts: the lagging list and reboots. Completions run on the HTTP
// client's thread and must not block.
#pragma once

#include "global/result.h"
#include "net/httpclient.h"
#include "store/hoststatus.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenlatch::store {

class HostClient
{
public:
    using ListCompletion = std::function<void(Result<std::vector<HostStatus>>)>;
    using RebootCompletion = std::function<void(Result<void>)>;

    // url is the platform's address, such as "http://127.0.0.1:7000".
    HostClient(net::HttpClient &http, std::string url, std::chrono::milliseconds timeout);

    // The list lags behind what the hosts do.
    void list(ListCompletion completion);
    // Asks for a graceful reboot. The platform runs each attempt at most once, however often it
    // is asked. Kind NotFound: the platform knows no such host.
    void reboot(const WorkerId &worker, const std::string &attempt, RebootCompletion completion);

private:
    net::HttpClient &m_http;
    const std::string m_url;
    const std::chrono::milliseconds m_timeout;
};

} // namespace cyclamenlatch::store
