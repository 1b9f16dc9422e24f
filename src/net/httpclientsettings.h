// How many connections a LoopHttpClient opens and keeps.
#pragma once

#include <chrono>
#include <cstddef>

namespace cyclamenlatch::net {

struct HttpClientSettings
{
    // Open connections to one address and port.
    std::size_t maxConnectionsPerHost = 64;
    // Connections that stay open after their call, to all hosts together, with those in use. A
    // client whose calls go to more hosts than this opens a new connection for nearly every call.
    std::size_t maxKeptConnections = 1024;
    // A connection that carried no call for this long is closed, so that one which something in
    // between has forgotten is seldom chosen, and none stays open to a host that is gone.
    std::chrono::milliseconds maxIdleTime{20000};
    // Of each connection; longer answers are read in parts.
    std::size_t receiveBufferBytes = std::size_t{16} * 1024;
    // Longest body of an answer, whatever a call allows. A longer one ends its connection.
    std::size_t maxReplyBytes = std::size_t{64} * 1024 * 1024;
};

} // namespace cyclamenlatch::net
