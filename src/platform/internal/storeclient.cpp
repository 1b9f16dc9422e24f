// Speaks the store's HTTP protocol (docs/platform-protocol.md).
#include "platform/storeclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace cyclamenlatch::platform {

namespace {

using nlohmann::json;

boost::outcome_v2::failure_type<Error> callFailure(const net::HttpCallResult &result, bool isWrite)
{
    const bool mayHaveHappened = isWrite && result.sendState == net::SendState::MaybeSent;
    return failure(mayHaveHappened ? ErrorKind::Unknown : ErrorKind::Unavailable,
                   fmt::format("no answer from the platform's store: {}", result.failure),
                   mayHaveHappened ? "read the key back to learn whether the write took effect"
                                   : "wait until the store is reachable, then try again");
}

boost::outcome_v2::failure_type<Error> statusFailure(int status, bool isWrite)
{
    if (status == 409) {
        return failure(ErrorKind::Conflict, "the key was changed by somebody else",
                       "read the key again and repeat the change on its new value");
    }
    if (status == 429) {
        return failure(ErrorKind::Overloaded, "the store's call rate is used up",
                       "try again after a delay");
    }
    if (status == 503) {
        return failure(ErrorKind::Unavailable, "the store is down", "try again after a delay");
    }
    return failure(isWrite ? ErrorKind::Unknown : ErrorKind::Internal,
                   fmt::format("the store answered with status {}", status),
                   "look at the store's own log");
}

boost::outcome_v2::failure_type<Error> malformedAnswer(bool isWrite)
{
    return failure(isWrite ? ErrorKind::Unknown : ErrorKind::Internal,
                   "the store's answer is malformed", "check that the address is the store's");
}

StoreItem readItem(const json &value)
{
    StoreItem item;
    item.key = value.at("key").get<std::string>();
    item.value = value.value("value", std::string());
    item.revision = value.at("revision").get<StoreRevision>();
    item.deleted = value.value("deleted", false);
    return item;
}

Result<StoreListing> readListing(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return callFailure(result, false);
    }
    if (result.reply->status != 200) {
        return statusFailure(result.reply->status, false);
    }
    try {
        const auto value = json::parse(result.reply->body);
        StoreListing listing;
        listing.revision = value.at("revision").get<StoreRevision>();
        for (const auto &item : value.at("items")) {
            listing.items.push_back(readItem(item));
        }
        return listing;
    } catch (const json::exception &) {
        return malformedAnswer(false);
    }
}

} // namespace

StoreClient::StoreClient(net::HttpClient &http, std::string url, std::chrono::milliseconds timeout)
    : m_http(http)
    , m_url(std::move(url))
    , m_timeout(timeout)
{}

void StoreClient::get(const std::string &key, GetCompletion completion)
{
    net::HttpCall call;
    call.url = fmt::format("{}/v1/kv/{}", m_url, key);
    call.timeout = m_timeout;
    m_http.send(std::move(call), [completion = std::move(completion)](net::HttpCallResult result) {
        if (!result.reply) {
            return completion(callFailure(result, false));
        }
        if (result.reply->status == 404) {
            return completion(std::optional<StoreItem>());
        }
        if (result.reply->status != 200) {
            return completion(statusFailure(result.reply->status, false));
        }
        try {
            completion(std::optional<StoreItem>(readItem(json::parse(result.reply->body))));
        } catch (const json::exception &) {
            completion(malformedAnswer(false));
        }
    });
}

void StoreClient::list(const std::string &prefix, ListCompletion completion)
{
    net::HttpCall call;
    call.url = fmt::format("{}/v1/kv?prefix={}", m_url, prefix);
    call.timeout = m_timeout;
    m_http.send(std::move(call), [completion = std::move(completion)](net::HttpCallResult result) {
        completion(readListing(result));
    });
}

void StoreClient::compareAndSwap(StoreWrite write, WriteCompletion completion)
{
    net::HttpCall call;
    call.method = "PUT";
    call.url = fmt::format("{}/v1/kv/{}?expected={}&lease={}", m_url, write.key, write.expected,
                           write.lease);
    call.body = std::move(write.value);
    call.timeout = m_timeout;
    m_http.send(std::move(call), [completion = std::move(completion)](net::HttpCallResult result) {
        if (!result.reply) {
            return completion(callFailure(result, true));
        }
        if (result.reply->status != 200) {
            return completion(statusFailure(result.reply->status, true));
        }
        try {
            completion(json::parse(result.reply->body).at("revision").get<StoreRevision>());
        } catch (const json::exception &) {
            completion(malformedAnswer(true));
        }
    });
}

void StoreClient::watch(const std::string &prefix, StoreRevision after,
                        std::chrono::milliseconds wait, ListCompletion completion)
{
    net::HttpCall call;
    call.url = fmt::format("{}/v1/watch?prefix={}&after={}&waitMs={}", m_url, prefix, after,
                           wait.count());
    call.timeout = m_timeout + wait;
    m_http.send(std::move(call), [completion = std::move(completion)](net::HttpCallResult result) {
        completion(readListing(result));
    });
}

} // namespace cyclamenlatch::platform
