// Reads the address and port that a server is reached at.
#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace cyclamenlatch::net {

// Reads an IPv4 address and a port, such as "10.1.0.23:8340"; empty for any other text.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace cyclamenlatch::net
