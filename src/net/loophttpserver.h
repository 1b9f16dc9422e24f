// HTTP server on one event loop that counts what callers make it hold while it reads, and refuses
// or closes what goes beyond its limits. It reads one request of a connection at a time: the next
// one is left in the socket until the answer was written. Not for use by several threads.
#pragma once

#include "global/result.h"
#include "net/httpserver.h"
#include "net/intakelimits.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cyclamenlatch::net {

class LoopHttpServer
{
public:
    // The handler is called on the loop, and may answer at once or later. It need not answer a
    // request whose server is gone.
    LoopHttpServer(asio::io_context &context, std::string address, std::uint16_t port,
                   IntakeLimits limits, HttpHandler handler);
    ~LoopHttpServer();
    LoopHttpServer(const LoopHttpServer &) = delete;
    LoopHttpServer &operator=(const LoopHttpServer &) = delete;

    // Starts to listen; fails when the address is taken or not ours.
    Result<void> start();
    std::uint16_t port() const;
    // For requests that begin from now on; at most the limit that the server was created with.
    void setMaxBodyBytes(std::size_t bytes);
    // Requests whose reply has not been handed to the system whole.
    std::size_t openRequests() const;
    IntakeStatistics statistics() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cyclamenlatch::net
