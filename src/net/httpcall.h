// One outgoing HTTP call.
#pragma once

#include "net/httpheaders.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
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
    // LoopHttpClient only: ends a call of which nothing was received for this long; zero: only the
    // timeout does. For answers whose length, and so their time on a thin link, the caller can't
    // know.
    std::chrono::milliseconds idleTimeout{};
    // LoopHttpClient only: asked when a connection is ready, right before the first byte is
    // written; after a no the call fails unsent. For orders whose permission may run out while they
    // wait. Empty: always yes.
    std::function<bool()> isPermitted;
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
