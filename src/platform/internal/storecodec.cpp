// Paths and JSON formats of the platform's store.
#include "platform/storecodec.h"

#include "platform/internal/jsonfields.h"
#include "platform/internal/jsonpost.h"
#include "platform/internal/urlquery.h"
#include "store/base64.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::platform {

namespace {

net::HttpCall makeCall(std::string method, std::string url)
{
    net::HttpCall call;
    call.method = std::move(method);
    call.url = std::move(url);
    return call;
}

StoreItem decodeItem(const nlohmann::json &json)
{
    StoreItem item;
    item.key = detail::stringField(json, "key");
    item.revision = detail::unsignedField(json, "revision");
    item.deleted = detail::boolField(json, "deleted");
    const auto value = detail::stringField(json, "value");
    item.value = store::fromBase64(value).value_or("");
    return item;
}

void decodeItems(const nlohmann::json &json, const char *name, StoreReply &reply)
{
    const auto *items = detail::findField(json, name);
    if (items == nullptr || !items->is_array()) {
        return;
    }
    reply.items.reserve(items->size());
    for (const auto &item : *items) {
        reply.items.push_back(decodeItem(item));
    }
}

void decodeBody(const std::string &body, StoreReply &reply)
{
    if (body.empty()) {
        return;
    }
    const auto json = detail::parseJson(body);
    if (json.is_discarded()) {
        reply.outcome = StoreOutcome::OutcomeUnknown;
        reply.failure = "the store's reply is not valid JSON";
        return;
    }
    const auto *at = detail::findField(json, "at");
    reply.revision = detail::unsignedField(json, at != nullptr ? "at" : "revision");
    reply.hasMore = detail::boolField(json, "has_more");
    reply.lease = detail::unsignedField(json, "lease");
    decodeItems(json, "items", reply);
    decodeItems(json, "events", reply);
    if (detail::findField(json, "key") != nullptr) {
        reply.items.push_back(decodeItem(json));
    }
}

} // namespace

net::HttpCall StoreCodec::get(const std::string &key) const
{
    return makeCall("GET", fmt::format("{}/v1/kv-key?key={}", m_base, detail::escapeQuery(key)));
}

net::HttpCall StoreCodec::range(const std::string &prefix, const std::string &after) const
{
    auto url = fmt::format("{}/v1/kv-range?prefix={}", m_base, detail::escapeQuery(prefix));
    if (!after.empty()) {
        url += "&after=" + detail::escapeQuery(after);
    }
    return makeCall("GET", std::move(url));
}

net::HttpCall StoreCodec::watch(const std::string &prefix, StoreRevision after,
                                std::chrono::milliseconds wait) const
{
    return makeCall("GET", fmt::format("{}/v1/kv-watch?prefix={}&after={}&wait_ms={}", m_base,
                                       detail::escapeQuery(prefix), after, wait.count()));
}

net::HttpCall StoreCodec::transaction(const StoreTransaction &transaction) const
{
    nlohmann::json body{{"expected", nlohmann::json::array()},
                        {"write", nlohmann::json::array()},
                        {"remove", transaction.removals}};
    for (const auto &condition : transaction.expected) {
        body["expected"].push_back({{"key", condition.key}, {"revision", condition.revision}});
    }
    for (const auto &write : transaction.writes) {
        nlohmann::json item{{"key", write.key}, {"value", store::toBase64(write.value)}};
        if (write.lease != 0) {
            item["lease"] = write.lease;
        }
        body["write"].push_back(std::move(item));
    }
    return detail::jsonPost(m_base + "/v1/kv-txn", body.dump());
}

net::HttpCall StoreCodec::grantLease(std::chrono::milliseconds timeToLive) const
{
    return detail::jsonPost(m_base + "/v1/kv-lease",
                            fmt::format(R"({{"ttl_ms":{}}})", timeToLive.count()));
}

net::HttpCall StoreCodec::renewLease(LeaseId lease) const
{
    return makeCall("POST", fmt::format("{}/v1/kv-keep/{}", m_base, lease));
}

net::HttpCall StoreCodec::revokeLease(LeaseId lease) const
{
    return makeCall("DELETE", fmt::format("{}/v1/kv-lease-end/{}", m_base, lease));
}

StoreReply StoreCodec::decodeReply(const net::HttpCallResult &result)
{
    StoreReply reply;
    if (!result.reply) {
        reply.outcome = result.sendState == net::SendState::NotSent ? StoreOutcome::NotDone
                                                                    : StoreOutcome::OutcomeUnknown;
        reply.failure = result.failure;
        return reply;
    }
    const int status = result.reply->status;
    if (status >= 200 && status < 300) {
        reply.outcome = StoreOutcome::Done;
        decodeBody(result.reply->body, reply);
        return reply;
    }
    reply.failure = fmt::format("the store answered with HTTP {}", status);
    switch (status) {
    case 412:
        reply.outcome = StoreOutcome::Conflict;
        decodeBody(result.reply->body, reply);
        break;
    case 404:
        reply.outcome = StoreOutcome::NotFound;
        break;
    case 410:
        reply.outcome = StoreOutcome::HistoryCompacted;
        break;
    case 400:
    case 413:
        reply.outcome = StoreOutcome::Rejected;
        break;
    case 500:
    case 502:
    case 504:
        reply.outcome = StoreOutcome::OutcomeUnknown;
        break;
    default:
        reply.outcome = StoreOutcome::NotDone;
        break;
    }
    return reply;
}

} // namespace cyclamenlatch::platform
