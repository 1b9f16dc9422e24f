// A request of an operator whose key was checked.
#pragma once

#include "net/httprequest.h"
#include "operatorapi/operatorrole.h"

#include <string>

namespace cyclamenlatch::operatorapi {

struct OperatorRequest
{
    // Who asks.
    std::string operatorName;
    Role role = Role::Read;
    // The path behind the route's prefix; empty when the path is the prefix itself.
    std::string rest;
    net::HttpRequest http;
};

} // namespace cyclamenlatch::operatorapi
