// Sends calls to the store and records their outcomes.
#include "control/platformstoreclient.h"

#include "control/clock.h"
#include "control/internal/callafter.h"

#include <memory>
#include <utility>

namespace cyclamenlatch::control {

namespace {

// The store answers within some milliseconds, and within 300 ms when it is slow.
constexpr std::chrono::milliseconds callTimeout{600};
constexpr std::chrono::milliseconds connectTimeout{300};
// A page of a list has up to one megabyte, which takes seconds over a slow link: it times out when
// no more data arrives, and is retried a few times before the list fails.
constexpr std::chrono::milliseconds pageIdleTimeout{1200};
constexpr std::chrono::milliseconds pageTimeout{20000};
constexpr std::chrono::milliseconds pageRetry{150};
constexpr unsigned maxPageFailures = 4;
// Added to the wait of a watch call for its timeout.
constexpr std::chrono::milliseconds watchMargin{500};

const char *counterName(platform::StoreOutcome outcome)
{
    switch (outcome) {
    case platform::StoreOutcome::Done:
        return R"(store_calls_total{outcome="done"})";
    case platform::StoreOutcome::Conflict:
        return R"(store_calls_total{outcome="conflict"})";
    case platform::StoreOutcome::NotFound:
        return R"(store_calls_total{outcome="missing"})";
    case platform::StoreOutcome::HistoryCompacted:
        return R"(store_calls_total{outcome="history-gone"})";
    case platform::StoreOutcome::NotDone:
        return R"(store_calls_total{outcome="not-done"})";
    case platform::StoreOutcome::Rejected:
        return R"(store_calls_total{outcome="rejected"})";
    case platform::StoreOutcome::OutcomeUnknown:
        break;
    }
    return R"(store_calls_total{outcome="unclear"})";
}

} // namespace

PlatformStoreClient::PlatformStoreClient(asio::io_context &context, net::LoopHttpClient &http,
                                         const std::string &address, Metrics &metrics)
    : PlatformStoreClient(
            context,
            [&http](net::HttpCall call, net::LoopHttpClient::Completion completion) {
                http.send(std::move(call), std::move(completion));
            },
            address, metrics)
{}

PlatformStoreClient::PlatformStoreClient(asio::io_context &context, Transport transport,
                                         const std::string &address, Metrics &metrics)
    : m_context(context)
    , m_transport(std::move(transport))
    , m_metrics(metrics)
    , m_codec(address)
    , m_lastAnswer(bootNow())
{}

void PlatformStoreClient::send(net::HttpCall call, std::chrono::milliseconds timeout,
                               Completion completion, bool isWatch)
{
    ++m_calls;
    call.timeout = timeout;
    call.connectTimeout = connectTimeout;
    m_transport(std::move(call),
                [this, isWatch, sentAt = bootNow(),
                 completion = std::move(completion)](const net::HttpCallResult &result) {
                    const auto reply = platform::StoreCodec::decodeReply(result);
                    m_metrics.count(counterName(reply.outcome));
                    if (!isWatch) {
                        m_metrics.observe("store_call_seconds", bootNow() - sentAt);
                    }
                    const bool isAnswer =
                            reply.outcome != platform::StoreOutcome::NotDone
                            && reply.outcome != platform::StoreOutcome::OutcomeUnknown;
                    if (isAnswer) {
                        m_lastAnswer = bootNow();
                        m_isFailing = false;
                    } else if (!isWatch) {
                        m_isFailing = true;
                    }
                    completion(reply);
                });
}

void PlatformStoreClient::probe()
{
    get("probe", [](const auto &) {});
}

void PlatformStoreClient::get(const std::string &key, Completion completion)
{
    send(m_codec.get(key), callTimeout, std::move(completion));
}

struct PlatformStoreClient::Listing
{
    std::string prefix;
    platform::StoreReply gathered;
    Completion completion;
    unsigned maxFailures = 0;
    // Failures of the current page.
    unsigned failures = 0;
};

void PlatformStoreClient::list(const std::string &prefix, Completion completion)
{
    listPage(std::make_shared<Listing>(
            Listing{prefix, {}, std::move(completion), maxPageFailures, 0}));
}

void PlatformStoreClient::listOnce(const std::string &prefix, Completion completion)
{
    listPage(std::make_shared<Listing>(Listing{prefix, {}, std::move(completion), 0, 0}));
}

void PlatformStoreClient::listPage(std::shared_ptr<Listing> listing)
{
    const auto &items = listing->gathered.items;
    auto call = m_codec.range(listing->prefix, items.empty() ? std::string{} : items.back().key);
    call.idleTimeout = pageIdleTimeout;
    send(std::move(call), pageTimeout,
         [this, listing](const platform::StoreReply &page) { handlePage(listing, page); });
}

void PlatformStoreClient::handlePage(const std::shared_ptr<Listing> &listing,
                                     const platform::StoreReply &page)
{
    if (page.outcome != platform::StoreOutcome::Done) {
        if (++listing->failures > listing->maxFailures) {
            return listing->completion(page);
        }
        return detail::callAfter(m_context, pageRetry, m_alive,
                                 [this, listing] { listPage(listing); });
    }
    auto &gathered = listing->gathered;
    gathered.revision = gathered.items.empty() ? page.revision : gathered.revision;
    gathered.outcome = page.outcome;
    gathered.items.insert(gathered.items.end(), page.items.begin(), page.items.end());
    listing->failures = 0;
    if (page.hasMore && !page.items.empty()) {
        return listPage(listing);
    }
    listing->completion(gathered);
}

void PlatformStoreClient::watch(const std::string &prefix, platform::StoreRevision after,
                                std::chrono::milliseconds wait, Completion completion,
                                bool onNewConnection)
{
    auto call = m_codec.watch(prefix, after, wait);
    call.replyDelay = wait;
    call.freshConnection = onNewConnection;
    send(
            std::move(call), wait + watchMargin,
            [this, completion = std::move(completion)](const platform::StoreReply &reply) {
                if (reply.outcome == platform::StoreOutcome::OutcomeUnknown) {
                    // Finds out whether the store is unavailable or only this connection is dead.
                    probe();
                }
                completion(reply);
            },
            true);
}

void PlatformStoreClient::transaction(const platform::StoreTransaction &transaction,
                                      Completion completion)
{
    send(m_codec.transaction(transaction), callTimeout, std::move(completion));
}

void PlatformStoreClient::grantLease(std::chrono::milliseconds timeToLive, Completion completion)
{
    send(m_codec.grantLease(timeToLive), callTimeout, std::move(completion));
}

void PlatformStoreClient::renewLease(platform::LeaseId lease, Completion completion)
{
    send(m_codec.renewLease(lease), callTimeout, std::move(completion));
}

void PlatformStoreClient::revokeLease(platform::LeaseId lease, Completion completion)
{
    send(m_codec.revokeLease(lease), callTimeout, std::move(completion));
}

Duration PlatformStoreClient::outageDuration(TimePoint now) const
{
    return m_isFailing ? now - m_lastAnswer : Duration{};
}

} // namespace cyclamenlatch::control
