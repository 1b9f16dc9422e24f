// The calls of the platform's store and what its answers mean. No retries and no state: the caller
// decides what to do.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "store/storeitem.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::platform {

using store::StoreItem;
using store::StoreRevision;
// Of a lease in the store; 0: none.
using LeaseId = std::uint64_t;

// Changes that take effect together or not at all.
struct StoreTransaction
{
    struct Condition
    {
        std::string key;
        // 0: the key does not exist.
        StoreRevision revision = 0;
    };
    struct Write
    {
        std::string key;
        std::string value;
        LeaseId lease = 0;
    };
    std::vector<Condition> expected;
    std::vector<Write> writes;
    std::vector<std::string> removals;
};

// Conditions, writes and removals that one change may have.
inline constexpr std::size_t maxTransactionEntries = 32;

enum class StoreOutcome {
    Done,
    // A condition does not hold; nothing was done.
    Conflict,
    // There is no such key or lease; nothing was done.
    NotFound,
    // The history that a watch asked for is gone.
    HistoryCompacted,
    // The store refused or was not reached: nothing was done.
    NotDone,
    // No answer: it may be done now, later or never.
    OutcomeUnknown,
};

struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::OutcomeUnknown;
    // Done: of the change, or of the store when it answered a read.
    StoreRevision revision = 0;
    // Done: the items read, or events. Conflict: the keys of the conditions as they are now.
    std::vector<StoreItem> items;
    // Done: more items follow after the last one.
    bool hasMore = false;
    LeaseId lease = 0;
    // Why it is not done.
    std::string failure;
};

class StoreCodec
{
public:
    explicit StoreCodec(const std::string &address)
        : m_base("http://" + address)
    {}

    net::HttpCall get(const std::string &key) const;
    net::HttpCall range(const std::string &prefix, const std::string &after) const;
    net::HttpCall watch(const std::string &prefix, StoreRevision after,
                        std::chrono::milliseconds wait) const;
    net::HttpCall transaction(const StoreTransaction &transaction) const;
    net::HttpCall grantLease(std::chrono::milliseconds timeToLive) const;
    net::HttpCall renewLease(LeaseId lease) const;
    net::HttpCall revokeLease(LeaseId lease) const;

    static StoreReply decodeReply(const net::HttpCallResult &result);

private:
    std::string m_base;
};

} // namespace cyclamenlatch::platform
