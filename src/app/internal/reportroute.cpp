// Answers with the report in the form that was asked for.
#include "app/reportroute.h"

#include "report/reportrender.h"

#include <string>
#include <string_view>

namespace cyclamenlatch::app {

namespace {

net::HttpReply makeReply(std::string type, std::string body)
{
    net::HttpReply reply;
    reply.headers.add("Content-Type", std::move(type));
    reply.body = std::move(body);
    return reply;
}

net::HttpReply render(std::string_view query, const report::FleetReport &report)
{
    if (query.empty() || query == "output=text") {
        return makeReply("text/plain; charset=utf-8", renderText(report));
    }
    if (query == "output=json") {
        return makeReply("application/json", renderJson(report));
    }
    if (query == "output=html") {
        return makeReply("text/html; charset=utf-8", renderHtml(report));
    }
    return operatorapi::errorReply({ErrorKind::InvalidInput, "the report has no such form",
                                    "ask for output=text, json or html"});
}

} // namespace

void addReportRoute(operatorapi::OperatorApi &api, report::ReportService &service,
                    quota::QuotaTable &quota)
{
    api.addRoute("GET", "/v1/report", operatorapi::Role::Read,
                 [&service, &quota](const operatorapi::OperatorRequest &request,
                                    const net::HttpResponder &respond) {
                     const auto report = service.makeReport([&quota](const WorkspaceId &workspace) {
                         return quota.use(quota::limitOf(workspace)).refused;
                     });
                     respond(render(request.http.query, report));
                 });
}

} // namespace cyclamenlatch::app
