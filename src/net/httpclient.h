// HTTP client over libcurl's multi interface, driven by Asio on a thread of its own. A call is
// written to at most one connection: libcurl's silent resend after a lost reused connection is
// refused, so that a request that must not run twice is safe here.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace cyclamenlatch::net {

class HttpClient
{
public:
    // Runs on the client's thread and must not block.
    using Completion = std::function<void(HttpCallResult)>;

    // maxConnectionsPerHost bounds the open connections to one address and port.
    explicit HttpClient(std::size_t maxConnectionsPerHost = 64);
    // Aborts the calls in flight; their completions run with a failure.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Thread-safe.
    void send(HttpCall call, Completion completion);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cyclamenlatch::net
