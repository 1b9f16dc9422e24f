// Builds a POST request with a JSON body for a service of the platform.
#pragma once

#include "net/httpcall.h"

#include <string>
#include <utility>

namespace cyclamenlatch::platform::detail {

inline net::HttpCall jsonPost(std::string url, std::string body)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = std::move(url);
    call.headers.add("Content-Type", "application/json");
    call.body = std::move(body);
    return call;
}

} // namespace cyclamenlatch::platform::detail
