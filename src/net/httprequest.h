// A whole HTTP request as the server hands it to its handler.
#pragma once

#include "net/httpheaders.h"

#include <string>

namespace cyclamenlatch::net {

struct HttpRequest
{
    std::string method;
    // Path without the query.
    std::string path;
    // Query without the question mark; empty when there is none.
    std::string query;
    HttpHeaders headers;
    std::string body;
};

} // namespace cyclamenlatch::net
