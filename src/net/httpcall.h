// One outgoing HTTP call.
#pragma once

#include "net/httpheaders.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenlatch::net {

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds timeout{30000};
    std::size_t maxReplyBytes = std::size_t{64} * 1024 * 1024;
    // A reply without exactly this header ends the call with a failure and closes the connection,
    // because more of what belongs to others may follow on it.
    std::optional<HttpHeader> requiredEcho;
    // Uses a new connection and closes it afterwards.
    bool freshConnection = false;
    // PEM file of the certificates that an https server's must be signed by; empty: the system's.
    std::string caFile;
    // Names the call for HttpClient::cancel; 0 for none.
    std::uint64_t cancelKey = 0;
};

} // namespace cyclamenlatch::net
