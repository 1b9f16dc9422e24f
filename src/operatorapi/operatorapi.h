// The operators' HTTP interface: checks the operator's key and role, then calls the handler of
// the route. Modules add their commands with addRoute; answers are JSON.
#pragma once

#include "global/error.h"
#include "net/httpserver.h"
#include "operatorapi/operatorkey.h"
#include "operatorapi/operatorrequest.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cyclamenlatch::operatorapi {

// Answers exactly once, from any thread, and must not block.
using OperatorHandler = std::function<void(OperatorRequest, net::HttpResponder)>;

class OperatorApi
{
public:
    explicit OperatorApi(std::vector<OperatorKey> keys);

    // Call before the server starts. The longest prefix that matches wins; a prefix matches whole
    // path segments: "/v1/waves" takes "/v1/waves" and "/v1/waves/w-1".
    void addRoute(std::string method, std::string pathPrefix, Role role, OperatorHandler handler);

    void handle(net::HttpRequest request, const net::HttpResponder &respond) const;

private:
    struct Route
    {
        std::string method;
        std::string prefix;
        Role role = Role::Read;
        OperatorHandler handler;
    };

    const OperatorKey *findKey(const net::HttpRequest &request) const;
    const Route *findRoute(const std::string &method, const std::string &path) const;

    std::vector<OperatorKey> m_keys;
    // Longest prefix first.
    std::vector<Route> m_routes;
};

net::HttpReply jsonReply(int status, const nlohmann::json &body);
// {"error": kind, "message": ..., "remedy": ...} with the status that fits the kind.
net::HttpReply errorReply(const Error &error);

} // namespace cyclamenlatch::operatorapi
