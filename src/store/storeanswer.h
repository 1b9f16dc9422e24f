// Judges the answers of the platform's store (docs/platform-protocol.md). A malformed answer to a
// write is of kind Unknown, because the write may have taken effect; nothing throws.
#pragma once

#include "global/result.h"
#include "net/httpcallresult.h"
#include "store/storeitem.h"

#include <optional>
#include <string>

namespace cyclamenlatch::store {

Result<StoreListing> judgeListing(const net::HttpCallResult &result);
// Nothing when the store has no such key.
Result<std::optional<StoreItem>> judgeItem(const net::HttpCallResult &result);
// The revision of a write that took effect.
Result<StoreRevision> judgeRevision(const net::HttpCallResult &result);
// The id of a new lease.
Result<std::string> judgeGrant(const net::HttpCallResult &result);
Result<void> judgeRenewal(const net::HttpCallResult &result);
Result<void> judgeLeaseEnd(const net::HttpCallResult &result);
// The store's revision, which every answer of it carries in a header.
std::optional<StoreRevision> revisionOf(const net::HttpCallResult &result);

} // namespace cyclamenlatch::store
