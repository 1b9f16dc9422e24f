// HTTP client on its caller's event loop, for processes that keep connections to thousands of
// hosts: numeric addresses, plain HTTP/1.1, one call at a time on a connection. A call costs it
// less than half of what libcurl takes once there are hundreds of hosts (docs/design/platform.md,
// "Measured"). Everything runs on the context's one thread. A call is written to at most one
// connection. Connections are reset when they are closed: nothing of a call that was given up is
// sent any more.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "net/httpclientsettings.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cyclamenlatch::net {

class LoopHttpClient
{
public:
    // Never runs inside send().
    using Completion = std::function<void(HttpCallResult)>;

    // The context must outlive the client.
    LoopHttpClient(asio::io_context &context, const HttpClientSettings &settings);
    // Aborts the calls in flight; their completions run with a failure.
    ~LoopHttpClient();
    LoopHttpClient(const LoopHttpClient &) = delete;
    LoopHttpClient &operator=(const LoopHttpClient &) = delete;

    // Fails calls that ask for what only HttpClient does: certificates, echoes, cancel keys.
    void send(HttpCall call, Completion completion);

private:
    class Private;

    const std::unique_ptr<Private> m_private;
};

} // namespace cyclamenlatch::net
