// Finds service and workspace of a request, and judges its reply.
#include "app/outcomewatch.h"

#include "admission/keysecret.h"
#include "net/bearertoken.h"

#include <optional>
#include <string_view>

namespace cyclamenlatch::app {

namespace {

constexpr std::string_view queuePrefix = "/v1/queues/";

std::optional<report::BurnKey> keyOf(const fleet::FleetDocument &fleet,
                                     const net::HttpRequest &request)
{
    std::string_view path = request.path;
    if (!path.starts_with(queuePrefix)) {
        return std::nullopt;
    }
    path.remove_prefix(queuePrefix.size());
    const auto *queue = fleet.findQueue(QueueId(std::string(path.substr(0, path.find('/')))));
    if (queue == nullptr) {
        return std::nullopt;
    }
    report::BurnKey key{queue->service, {}};
    const auto secret = admission::parseKey(net::bearerToken(request.headers));
    const auto *known = secret ? fleet.findKey(secret->id) : nullptr;
    if (known != nullptr) {
        key.workspace = known->workspace;
    }
    return key;
}

bool isCallersMistake(int status)
{
    constexpr int tooManyRequests = 429;
    return status >= 400 && status < 500 && status != tooManyRequests;
}

} // namespace

void OutcomeWatch::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    const std::lock_guard lock(m_mutex);
    m_fleet = std::move(fleet);
}

net::HttpResponder OutcomeWatch::watch(const net::HttpRequest &request, net::HttpResponder respond)
{
    std::shared_ptr<const fleet::FleetDocument> fleet;
    {
        const std::lock_guard lock(m_mutex);
        fleet = m_fleet;
    }
    auto key = fleet ? keyOf(*fleet, request) : std::nullopt;
    if (!key) {
        return respond;
    }
    return [this, key = *key, begin = steadyNow(),
            respond = std::move(respond)](net::HttpReply reply) {
        const bool completed = reply.headers.find("Cyclamenlatch-Outcome") == "completed";
        if (completed || !isCallersMistake(reply.status)) {
            m_observer({key, completed, steadyNow() - begin});
        }
        respond(std::move(reply));
    };
}

} // namespace cyclamenlatch::app
