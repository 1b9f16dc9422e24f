// Where an HTTP server listens and what it accepts.
#pragma once

#include "net/tlssettings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenlatch::net {

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    // 0 lets the system choose; HttpServer::port() tells which.
    std::uint16_t port = 0;
    // A request above one of these limits ends its connection without a reply: RESTinio stops
    // reading and has no hook for an answer. Handlers answer for smaller limits of their own.
    std::size_t maxBodyBytes = std::size_t{9} * 1024 * 1024;
    // Of the address, a field's name and a field's value.
    std::size_t maxFieldBytes = std::size_t{64} * 1024;
    std::size_t maxFieldCount = 200;
    // Time that a client has to send a whole request, or to take a reply; then the connection is
    // closed. Checked once a second.
    std::chrono::milliseconds readTimeout{30000};
    std::chrono::seconds handleTimeout{600};
    std::size_t maxConnections = 4096;
    // Without it the server speaks plain HTTP.
    std::optional<TlsSettings> tls;
};

} // namespace cyclamenlatch::net
