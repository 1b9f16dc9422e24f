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
    std::size_t maxBodyBytes = std::size_t{9} * 1024 * 1024;
    std::size_t maxFieldBytes = std::size_t{16} * 1024;
    std::size_t maxFieldCount = 100;
    std::chrono::seconds readTimeout{30};
    std::chrono::seconds handleTimeout{600};
    std::size_t maxConnections = 4096;
    // Without it the server speaks plain HTTP.
    std::optional<TlsSettings> tls;
};

} // namespace cyclamenlatch::net
