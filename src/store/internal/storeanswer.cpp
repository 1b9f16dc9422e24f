// Reads the store's answers.
#include "store/storeanswer.h"

#include "store/attempt.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace cyclamenlatch::store {

namespace {

using nlohmann::json;

// Every answer of the store carries the store's revision in this field.
constexpr std::string_view revisionHeader = "Store-Revision";

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
    auto stored = splitAttempt(value.value("value", std::string()));
    item.attempt = std::move(stored.attempt);
    item.value = std::move(stored.value);
    item.revision = value.at("revision").get<StoreRevision>();
    item.deleted = value.value("deleted", false);
    return item;
}

StoreListing readListing(const json &value)
{
    StoreListing listing;
    listing.revision = value.at("revision").get<StoreRevision>();
    for (const auto &item : value.at("items")) {
        listing.items.push_back(readItem(item));
    }
    return listing;
}

} // namespace

Result<StoreListing> judgeListing(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return callFailure(result, false);
    }
    if (result.reply->status != 200) {
        return statusFailure(result.reply->status, false);
    }
    try {
        return readListing(json::parse(result.reply->body));
    } catch (const json::exception &) {
        return malformedAnswer(false);
    }
}

Result<std::optional<StoreItem>> judgeItem(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return callFailure(result, false);
    }
    if (result.reply->status == 404) {
        return std::optional<StoreItem>();
    }
    if (result.reply->status != 200) {
        return statusFailure(result.reply->status, false);
    }
    try {
        return std::optional<StoreItem>(readItem(json::parse(result.reply->body)));
    } catch (const json::exception &) {
        return malformedAnswer(false);
    }
}

Result<StoreRevision> judgeRevision(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return callFailure(result, true);
    }
    if (result.reply->status != 200) {
        return statusFailure(result.reply->status, true);
    }
    try {
        return json::parse(result.reply->body).at("revision").get<StoreRevision>();
    } catch (const json::exception &) {
        return malformedAnswer(true);
    }
}

Result<std::string> judgeGrant(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return callFailure(result, false);
    }
    if (result.reply->status != 200) {
        return statusFailure(result.reply->status, false);
    }
    try {
        return json::parse(result.reply->body).at("lease").get<std::string>();
    } catch (const json::exception &) {
        return malformedAnswer(false);
    }
}

Result<void> judgeRenewal(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return callFailure(result, false);
    }
    if (result.reply->status == 404) {
        return failure(ErrorKind::NotFound, "the lease has lapsed",
                       "take a new lease and claim its keys anew");
    }
    if (result.reply->status != 200) {
        return statusFailure(result.reply->status, false);
    }
    return success();
}

Result<void> judgeLeaseEnd(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return callFailure(result, false);
    }
    if (result.reply->status != 200 && result.reply->status != 404) {
        return statusFailure(result.reply->status, false);
    }
    return success();
}

std::optional<StoreRevision> revisionOf(const net::HttpCallResult &result)
{
    const auto header = result.reply ? result.reply->headers.find(revisionHeader) : std::nullopt;
    StoreRevision revision = 0;
    if (!header
        || std::from_chars(header->data(), header->data() + header->size(), revision).ec
                   != std::errc()) {
        return std::nullopt;
    }
    return revision;
}

} // namespace cyclamenlatch::store
