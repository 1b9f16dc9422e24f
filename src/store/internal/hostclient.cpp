// Speaks the hosts' part of the platform's HTTP protocol (docs/platform-protocol.md).
#include "store/hostclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cyclamenlatch::store {

namespace {

using nlohmann::json;

boost::outcome_v2::failure_type<Error> callFailure(const net::HttpCallResult &result)
{
    const auto reason =
            result.reply ? fmt::format("status {}", result.reply->status) : result.failure;
    return failure(ErrorKind::Unavailable, "the platform gave no answer on its hosts: " + reason,
                   "wait until the platform is reachable, then try again");
}

Result<std::vector<HostStatus>> readHosts(const net::HttpCallResult &result)
{
    if (!result.reply || result.reply->status != 200) {
        return callFailure(result);
    }
    try {
        std::vector<HostStatus> hosts;
        const auto body = json::parse(result.reply->body);
        for (const auto &value : body.at("hosts")) {
            HostStatus host;
            host.worker = WorkerId(value.at("name"));
            host.live = value.at("live");
            host.finishedReboot = value.value("finishedReboot", std::string());
            host.replacements = value.value("replacements", std::uint64_t{0});
            host.usage = value.value("usage", 0.0);
            hosts.push_back(std::move(host));
        }
        return hosts;
    } catch (const json::exception &error) {
        return failure(ErrorKind::Internal,
                       fmt::format("the platform's list of hosts is malformed: {}", error.what()),
                       "look at the platform's own log");
    }
}

} // namespace

HostClient::HostClient(net::HttpClient &http, std::string url, std::chrono::milliseconds timeout)
    : m_http(http)
    , m_url(std::move(url))
    , m_timeout(timeout)
{}

void HostClient::list(ListCompletion completion)
{
    net::HttpCall call;
    call.url = m_url + "/v1/hosts";
    call.timeout = m_timeout;
    m_http.send(std::move(call),
                [completion = std::move(completion)](const net::HttpCallResult &result) {
                    completion(readHosts(result));
                });
}

void HostClient::reboot(const WorkerId &worker, const std::string &attempt,
                        RebootCompletion completion)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = fmt::format("{}/v1/hosts/{}/reboot?attempt={}", m_url, worker.value(), attempt);
    call.timeout = m_timeout;
    m_http.send(std::move(call), [completion = std::move(completion)](
                                         const net::HttpCallResult &result) {
        if (result.reply && result.reply->status == 404) {
            return completion(failure(ErrorKind::NotFound, "the platform knows no such host",
                                      "give the worker the platform's name for it"));
        }
        if (!result.reply || result.reply->status != 200) {
            return completion(callFailure(result));
        }
        completion(success());
    });
}

} // namespace cyclamenlatch::store
