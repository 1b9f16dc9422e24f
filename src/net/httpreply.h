// An HTTP reply: what a server handler answers, or what a client received whole.
#pragma once

#include "net/httpheaders.h"

#include <string>

namespace cyclamenlatch::net {

struct HttpReply
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    // Asks the server to close the connection after this reply.
    bool closeConnection = false;
};

} // namespace cyclamenlatch::net
