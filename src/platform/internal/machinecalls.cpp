// Paths and formats of the platform's machines.
#include "platform/machinecalls.h"

#include "global/nametable.h"
#include "platform/internal/jsonfields.h"
#include "platform/internal/jsonpost.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::platform {

using scheduling::HostAnswer;
using scheduling::HostHolder;
using scheduling::HostInfo;
using scheduling::HostState;

namespace {

net::HttpCall orderCall(const std::string &url, const HostHolder &holder,
                        const nlohmann::json &body)
{
    auto call = detail::jsonPost(url, body.dump());
    call.headers.add("Cyclamenlatch-Lease-Holder", holder.name);
    call.headers.add("Cyclamenlatch-Fencing-Token", std::to_string(holder.token));
    return call;
}

std::optional<HostInfo> hostOf(const nlohmann::json &json)
{
    static constexpr NamedValue<HostState> entries[] = {{HostState::Up, "up"},
                                                        {HostState::Moving, "moving"},
                                                        {HostState::Upkeep, "upkeep"},
                                                        {HostState::Down, "down"}};
    static constexpr NameTable names{entries};
    HostInfo host;
    host.name = detail::textOf(json, "machine");
    host.pool = detail::textOf(json, "pool");
    host.dataCentre = detail::textOf(json, "zone");
    host.target = detail::textOf(json, "id");
    const auto state = names.value(detail::textOf(json, "state"));
    if (host.name.empty() || !state) {
        return std::nullopt;
    }
    host.state = *state;
    host.labels = detail::textsOf(json, "labels");
    if (const auto *capacity = detail::fieldOf(json, "capacity"); capacity != nullptr) {
        host.capacity = detail::roomOf(*capacity);
    }
    return host;
}

} // namespace

net::HttpCall MachineCalls::list(const std::string &page) const
{
    net::HttpCall call;
    call.url = m_base + "/v1/machines";
    if (!page.empty()) {
        call.url += "?page_token=" + page;
    }
    return call;
}

net::HttpCall MachineCalls::move(const HostHolder &holder, const std::string &machine,
                                 const std::string &pool) const
{
    return orderCall(m_base + "/v1/machine-move", holder, {{"machine", machine}, {"pool", pool}});
}

net::HttpCall MachineCalls::upkeep(const HostHolder &holder, const std::string &machine,
                                   std::uint64_t wave) const
{
    return orderCall(m_base + "/v1/machine-upkeep", holder, {{"machine", machine}, {"wave", wave}});
}

std::optional<MachinePage> MachineCalls::judgeList(const net::HttpCallResult &result)
{
    if (!result.reply || result.reply->status != 200) {
        return std::nullopt;
    }
    const auto json = detail::parseJson(result.reply->body);
    const auto *machines = detail::fieldOf(json, "machines");
    if (machines == nullptr || !machines->is_array()) {
        return std::nullopt;
    }
    MachinePage page;
    for (const auto &item : *machines) {
        if (auto host = hostOf(item)) {
            page.hosts.push_back(std::move(*host));
        }
    }
    page.nextPage = detail::textOf(json, "next_page_token");
    return page;
}

HostAnswer MachineCalls::judgeOrder(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return result.sendState == net::SendState::NotSent ? HostAnswer::NotDone
                                                           : HostAnswer::Unclear;
    }
    switch (result.reply->status) {
    case 200:
        return HostAnswer::Accepted;
    case 400:
        return HostAnswer::Invalid;
    case 409: {
        static constexpr NamedValue<HostAnswer> entries[] = {{HostAnswer::Fenced, "fence"},
                                                             {HostAnswer::Busy, "busy"},
                                                             {HostAnswer::NotOfWave, "wave"}};
        static constexpr NameTable names{entries};
        const auto reason = detail::textOf(detail::parseJson(result.reply->body), "reason");
        return names.value(reason).value_or(HostAnswer::Busy);
    }
    case 500:
    case 502:
    case 504:
        return HostAnswer::Unclear;
    default:
        return HostAnswer::NotDone;
    }
}

} // namespace cyclamenlatch::platform
