// Paths and JSON formats of the platform's host API.
#include "platform/hostcodec.h"

#include "global/nametable.h"
#include "platform/internal/jsonfields.h"
#include "platform/internal/jsonpost.h"
#include "platform/internal/plaintext.h"
#include "platform/internal/urlquery.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::platform {

using scheduling::HostHolder;
using scheduling::HostInfo;
using scheduling::HostOrderResult;
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

// A host in an unknown state is not used, and is not taken for removed.
std::optional<HostInfo> decodeHost(const nlohmann::json &json)
{
    static constexpr NamedValue<HostState> entries[] = {{HostState::Up, "up"},
                                                        {HostState::Moving, "moving"},
                                                        {HostState::Maintenance, "upkeep"},
                                                        {HostState::Down, "down"}};
    static constexpr NameTable names{entries};
    HostInfo host;
    host.name = detail::stringField(json, "machine");
    host.pool = detail::stringField(json, "pool");
    host.dataCentre = detail::stringField(json, "zone");
    host.target = detail::stringField(json, "id");
    if (host.name.empty() || !detail::isPlainText(host.name)) {
        return std::nullopt;
    }
    const bool isValid = detail::isPlainText(host.pool) && detail::isPlainText(host.dataCentre)
                         && (host.target.empty() || detail::isIdentifier(host.target));
    host.state = isValid ? names.value(detail::stringField(json, "state")).value_or(HostState::Down)
                         : HostState::Down;
    host.labels = detail::stringListField(json, "labels");
    if (const auto *capacity = detail::findField(json, "capacity"); capacity != nullptr) {
        host.capacity = detail::decodeResources(*capacity);
    }
    return host;
}

} // namespace

net::HttpCall HostCodec::list(const std::string &page) const
{
    net::HttpCall call;
    call.url = m_base + "/v1/machines";
    if (!page.empty()) {
        call.url += "?page_token=" + detail::escapeQuery(page);
    }
    return call;
}

net::HttpCall HostCodec::move(const HostHolder &holder, const std::string &host,
                              const std::string &pool) const
{
    return orderCall(m_base + "/v1/machine-move", holder, {{"machine", host}, {"pool", pool}});
}

net::HttpCall HostCodec::maintenance(const HostHolder &holder, const std::string &host,
                                     std::uint64_t wave) const
{
    return orderCall(m_base + "/v1/machine-upkeep", holder, {{"machine", host}, {"wave", wave}});
}

std::optional<HostPage> HostCodec::decodeHostPage(const net::HttpCallResult &result)
{
    if (!result.reply || result.reply->status != 200) {
        return std::nullopt;
    }
    const auto json = detail::parseJson(result.reply->body);
    const auto *hosts = detail::findField(json, "machines");
    if (hosts == nullptr || !hosts->is_array()) {
        return std::nullopt;
    }
    HostPage page;
    for (const auto &item : *hosts) {
        if (auto host = decodeHost(item)) {
            page.hosts.push_back(std::move(*host));
        }
    }
    page.nextPage = detail::stringField(json, "next_page_token");
    return page;
}

HostOrderResult HostCodec::decodeOrderReply(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return result.sendState == net::SendState::NotSent ? HostOrderResult::NotDone
                                                           : HostOrderResult::OutcomeUnknown;
    }
    switch (result.reply->status) {
    case 200:
        return HostOrderResult::Accepted;
    case 400:
        return HostOrderResult::Invalid;
    case 409: {
        static constexpr NamedValue<HostOrderResult> entries[] = {
                {HostOrderResult::Fenced, "fence"},
                {HostOrderResult::Busy, "busy"},
                {HostOrderResult::NotInWave, "wave"}};
        static constexpr NameTable names{entries};
        const auto reason = detail::stringField(detail::parseJson(result.reply->body), "reason");
        return names.value(reason).value_or(HostOrderResult::Busy);
    }
    case 500:
    case 502:
    case 504:
        return HostOrderResult::OutcomeUnknown;
    default:
        return HostOrderResult::NotDone;
    }
}

} // namespace cyclamenlatch::platform
