// HTTP client over libcurl's multi interface, driven by Asio on threads of its own; each host is
// served by one of them, so that its connections can be counted and bounded. A call is
// written to at most one connection: libcurl's silent resend after a lost reused connection is
// refused, so that a request that must not run twice is safe here.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::net {

class HttpClient
{
public:
    // Runs on the client's thread and must not block.
    using Completion = std::function<void(HttpCallResult)>;

    // maxConnectionsPerHost bounds the open connections to one address and port.
    explicit HttpClient(std::size_t maxConnectionsPerHost = 64, std::size_t threads = 1);
    // Aborts the calls in flight; their completions run with a failure.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Thread-safe.
    void send(HttpCall call, Completion completion);
    // Thread-safe. Aborts the call with this key if it is still in flight and closes its
    // connection; its completion runs with a failure.
    void cancel(std::uint64_t cancelKey);
    // Thread-safe. Applies to connections opened from now on.
    void setMaxConnectionsPerHost(std::size_t count);
    // Thread-safe. Connections open to "address:port"; the address is numeric.
    std::size_t connectionsOpen(const std::string &host) const;
    // Thread-safe. Closes the connections to "address:port" that carry no call.
    void closeIdle(const std::string &host);

private:
    class Private;
    Private &privateOf(const std::string &url) const;

    std::vector<std::unique_ptr<Private>> m_privates;
};

} // namespace cyclamenlatch::net
