// Paths and JSON formats of the platform's store.
#include "platform/storecodec.h"

#include "platform/internal/jsonfields.h"
#include "platform/internal/jsonpost.h"
#include "store/base64.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::platform {

namespace {

// Percent-encodes a value for the query of a URL.
std::string escapeQuery(const std::string &text)
{
    std::string escaped;
    for (const unsigned char character : text) {
        const bool isPlain = (character >= 'a' && character <= 'z')
                             || (character >= 'A' && character <= 'Z')
                             || (character >= '0' && character <= '9') || character == '-'
                             || character == '_' || character == '.' || character == '/';
        if (isPlain) {
            escaped.push_back(static_cast<char>(character));
        } else {
            escaped += fmt::format("%{:02X}", character);
        }
    }
    return escaped;
}

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
    item.revision = static_cast<StoreRevision>(detail::integerField(json, "revision").value_or(0));
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
    const auto at = detail::integerField(json, "at");
    const auto revision = detail::integerField(json, "revision");
    reply.revision = static_cast<StoreRevision>(at ? *at : revision.value_or(0));
    reply.hasMore = detail::boolField(json, "has_more");
    reply.lease = static_cast<LeaseId>(detail::integerField(json, "lease").value_or(0));
    decodeItems(json, "items", reply);
    decodeItems(json, "events", reply);
    if (detail::findField(json, "key") != nullptr) {
        reply.items.push_back(decodeItem(json));
    }
}

} // namespace

net::HttpCall StoreCodec::get(const std::string &key) const
{
    return makeCall("GET", fmt::format("{}/v1/kv-key?key={}", m_base, escapeQuery(key)));
}

net::HttpCall StoreCodec::range(const std::string &prefix, const std::string &after) const
{
    auto url = fmt::format("{}/v1/kv-range?prefix={}", m_base, escapeQuery(prefix));
    if (!after.empty()) {
        url += "&after=" + escapeQuery(after);
    }
    return makeCall("GET", std::move(url));
}

net::HttpCall StoreCodec::watch(const std::string &prefix, StoreRevision after,
                                std::chrono::milliseconds wait) const
{
    return makeCall("GET", fmt::format("{}/v1/kv-watch?prefix={}&after={}&wait_ms={}", m_base,
                                       escapeQuery(prefix), after, wait.count()));
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
