// A JSON reply of a stand-in.
#pragma once

#include "net/httpreply.h"

#include <nlohmann/json.hpp>

namespace cyclamenlatch::standins {

inline net::HttpReply jsonReply(int status, const nlohmann::json &body)
{
    net::HttpReply reply;
    reply.status = status;
    reply.headers.add("Content-Type", "application/json");
    reply.body = body.dump();
    return reply;
}

} // namespace cyclamenlatch::standins
