// Reads endpoints.
#include "net/endpoint.h"

#include <asio/ip/address_v4.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace cyclamenlatch::net {

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

} // namespace cyclamenlatch::net
