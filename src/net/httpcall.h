// One outgoing HTTP call.
#pragma once

#include "net/httpheaders.h"
#include "net/httpreply.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace cyclamenlatch::net {

// Binds a call to one process behind an address. A process that restarts ends its connections, so
// whatever is written to a connection reaches the process that has named itself on it, or none.
struct PeerCheck
{
    // Identity of the process that the call is for; 0: any.
    std::int64_t expected = 0;
    // A request that changes nothing, with the call's method and headers. It is sent first on a
    // connection whose peer has not named itself yet, if the call is for a certain process.
    std::string path;
    std::string body;
    // After this time without a reply, doubled with each try, the request is sent again on another
    // connection, until the call's timeout; zero: it is sent once. The call's own time begins when
    // it is written.
    std::chrono::milliseconds timeout{};
    // Reads the identity from a reply; 0: the reply does not name it.
    std::function<std::int64_t(const HttpReply &)> identify;
};

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
    // LoopHttpClient only: how long the server may hold the reply back, as for a watch without a
    // change. Only silence after that tells anything of the connection.
    std::chrono::milliseconds replyDelay{};
    // LoopHttpClient only: asked when a connection is ready, right before the first byte is
    // written; after a no the call fails unsent. For orders whose permission may run out while they
    // wait. Empty: always yes.
    std::function<bool()> isPermitted;
    // LoopHttpClient only: the process that the call is for. If another one answers, the call fails
    // unsent, and the result has the reply in which that one named itself.
    std::optional<PeerCheck> peerCheck;
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
