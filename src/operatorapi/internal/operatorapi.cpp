// Authenticates operators and routes their requests.
#include "operatorapi/operatorapi.h"

#include "admission/keysecret.h"
#include "net/bearertoken.h"
#include "net/httpstatus.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::operatorapi {

namespace {

bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

net::HttpReply jsonReply(int status, const nlohmann::json &body)
{
    net::HttpReply reply;
    reply.status = status;
    reply.headers.add("Content-Type", "application/json");
    reply.body = body.dump();
    return reply;
}

net::HttpReply errorReply(const Error &error)
{
    return jsonReply(net::statusOf(error.kind), {{"error", errorKindNames.name(error.kind)},
                                                 {"message", error.message},
                                                 {"remedy", error.remedy}});
}

OperatorApi::OperatorApi(std::vector<OperatorKey> keys)
    : m_keys(std::move(keys))
{}

void OperatorApi::addRoute(std::string method, std::string pathPrefix, Role role,
                           OperatorHandler handler)
{
    m_routes.push_back({std::move(method), std::move(pathPrefix), role, std::move(handler)});
    std::stable_sort(m_routes.begin(), m_routes.end(), [](const Route &left, const Route &right) {
        return left.prefix.size() > right.prefix.size();
    });
}

const OperatorKey *OperatorApi::findKey(const net::HttpRequest &request) const
{
    const auto presented = admission::parseKey(net::bearerToken(request.headers));
    if (!presented) {
        return nullptr;
    }
    const auto hash = admission::hashSecret(presented->secret);
    const auto found = std::find_if(m_keys.begin(), m_keys.end(), [&](const OperatorKey &key) {
        return key.name == presented->id.value() && admission::hashesEqual(hash, key.hash);
    });
    return found == m_keys.end() ? nullptr : &*found;
}

const OperatorApi::Route *OperatorApi::findRoute(const std::string &method,
                                                 const std::string &path) const
{
    const auto found = std::find_if(m_routes.begin(), m_routes.end(), [&](const Route &route) {
        return route.method == method && matchesPrefix(path, route.prefix);
    });
    return found == m_routes.end() ? nullptr : &*found;
}

void OperatorApi::handle(net::HttpRequest request, const net::HttpResponder &respond) const
{
    const auto *key = findKey(request);
    if (key == nullptr) {
        return respond(errorReply({ErrorKind::Unauthorized, "the operator key is missing or wrong",
                                   "send \"Authorization: Bearer <name>.<secret>\" with a key of "
                                   "the entry's settings"}));
    }
    const auto *route = findRoute(request.method, request.path);
    if (route == nullptr) {
        return respond(errorReply({ErrorKind::NotFound,
                                   fmt::format("there is no {} {}", request.method, request.path),
                                   "see \"cyclamenlatch --help\" for the commands"}));
    }
    if (route->role == Role::Operate && key->role != Role::Operate) {
        return respond(errorReply({ErrorKind::Forbidden, "this operator key may only read",
                                   "use a key with the role \"operate\""}));
    }
    OperatorRequest checked;
    checked.operatorName = key->name;
    checked.role = key->role;
    checked.rest = request.path.substr(std::min(request.path.size(), route->prefix.size() + 1));
    checked.http = std::move(request);
    route->handler(std::move(checked), respond);
}

} // namespace cyclamenlatch::operatorapi
