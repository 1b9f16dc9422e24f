// A whole HTTP request as the server hands it to its handler.
#pragma once

#include "net/connectionwatch.h"
#include "net/httpheaders.h"

#include <memory>
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
    // Tells when the caller is gone; may be empty. Shared with the server's connection.
    std::shared_ptr<ConnectionWatch> connection;
};

} // namespace cyclamenlatch::net
