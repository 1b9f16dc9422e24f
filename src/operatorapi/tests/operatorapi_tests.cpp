// Operators reach only what their key's role allows.
#include "operatorapi/operatorapi.h"

#include "admission/keysecret.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cyclamenlatch::operatorapi {
namespace {

OperatorApi makeApi()
{
    OperatorApi api({{"ana", Role::Operate, admission::hashSecret("s-1")},
                     {"ben", Role::Read, admission::hashSecret("s-2")}});
    const auto answer = [](std::string name) {
        return [name](const OperatorRequest &request, const net::HttpResponder &respond) {
            respond(jsonReply(200, {{"route", name}, {"rest", request.rest}}));
        };
    };
    api.addRoute("GET", "/v1/waves", Role::Read, answer("waves"));
    api.addRoute("GET", "/v1/waves/plan", Role::Read, answer("plan"));
    api.addRoute("POST", "/v1/waves", Role::Operate, answer("start"));
    return api;
}

net::HttpReply ask(const std::string &method, const std::string &path, const std::string &key)
{
    net::HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.add("Authorization", "Bearer " + key);
    net::HttpReply answer;
    makeApi().handle(std::move(request), [&answer](net::HttpReply reply) { answer = reply; });
    return answer;
}

TEST(OperatorApi, choosesLongestPrefixOfWholeSegments)
{
    EXPECT_EQ(ask("GET", "/v1/waves/w-1", "ben.s-2").body, R"({"rest":"w-1","route":"waves"})");
    EXPECT_EQ(ask("GET", "/v1/waves/plan", "ben.s-2").body, R"({"rest":"","route":"plan"})");
    EXPECT_EQ(ask("GET", "/v1/wavesx", "ben.s-2").status, 404);
}

TEST(OperatorApi, refusesWrongKeyAndMissingRole)
{
    EXPECT_EQ(ask("GET", "/v1/waves", "ben.s-1").status, 401);
    EXPECT_EQ(ask("GET", "/v1/waves", "").status, 401);
    EXPECT_EQ(ask("POST", "/v1/waves", "ben.s-2").status, 403);
    EXPECT_EQ(ask("POST", "/v1/waves", "ana.s-1").status, 200);
}

} // namespace
} // namespace cyclamenlatch::operatorapi
