// Requests to the platform's store and the decoding of its replies. Stateless and without retries:
// the caller sends the requests and decides how to handle failures.
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
// Id of a lease in the store; 0 means no lease.
using LeaseId = std::uint64_t;

// Writes and removals that take effect atomically if all conditions hold.
struct StoreTransaction
{
    struct Condition
    {
        std::string key;
        // Revision that the key must have; 0 means that the key must not exist.
        StoreRevision revision = 0;
    };
    struct Write
    {
        std::string key;
        std::string value;
        // Lease to which the key is bound; 0 means none.
        LeaseId lease = 0;
    };
    std::vector<Condition> expected;
    std::vector<Write> writes;
    std::vector<std::string> removals;
};

// Maximum number of conditions, writes and removals in one transaction.
inline constexpr std::size_t maxTransactionEntries = 32;

enum class StoreOutcome {
    Done,
    // A condition does not hold; nothing was changed.
    Conflict,
    // The key or lease does not exist; nothing was changed.
    NotFound,
    // The revision from which a watch was to continue has been compacted away.
    HistoryCompacted,
    // The store refused the request or was not reached; nothing was changed.
    NotDone,
    // The store refuses the request for what it contains, and would do so again; nothing was
    // changed.
    Rejected,
    // No conclusive reply: the request may take effect now, later or never.
    OutcomeUnknown,
};

struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::OutcomeUnknown;
    // For Done: revision of the transaction, or of the store when it answered a read.
    StoreRevision revision = 0;
    // For Done: the items read, or the events of a watch. For Conflict: the current state of the
    // keys in the conditions.
    std::vector<StoreItem> items;
    // For Done: the range continues after the last item.
    bool hasMore = false;
    LeaseId lease = 0;
    // Why the outcome is not Done.
    std::string failure;
};

class StoreCodec
{
public:
    explicit StoreCodec(const std::string &address)
        : m_base("http://" + address)
    {}

    net::HttpCall get(const std::string &key) const;
    // after: key after which the range continues; empty to start at the first key.
    net::HttpCall range(const std::string &prefix, const std::string &after) const;
    // Asks for events with a revision higher than after; the store waits up to wait for one.
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
