// One outgoing HTTP call.
#pragma once

#include "net/httpheaders.h"

#include <chrono>
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
};

} // namespace cyclamenlatch::net
