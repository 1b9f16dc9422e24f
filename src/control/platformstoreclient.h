// Calls to the platform's store, one try each with a timeout. Tracks from their outcomes whether
// the store is available. Runs on the event loop's only thread.
#pragma once

#include "control/metrics.h"
#include "global/time.h"
#include "net/loophttpclient.h"
#include "platform/storecodec.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

class PlatformStoreClient
{
public:
    using Completion = std::function<void(const platform::StoreReply &)>;
    // Sends a call and runs the completion later, never inside the function itself.
    using Transport = std::function<void(net::HttpCall, net::LoopHttpClient::Completion)>;

    PlatformStoreClient(asio::io_context &context, net::LoopHttpClient &http,
                        const std::string &address, Metrics &metrics);
    PlatformStoreClient(asio::io_context &context, Transport transport, const std::string &address,
                        Metrics &metrics);

    void get(const std::string &key, Completion completion);
    // Reads all pages. A page that fails is retried a few times, so that a long list over a slow or
    // unreliable link does not start over. The reply has the revision of the first page, so that a
    // watch from there misses no change, also of keys on the first pages.
    void list(const std::string &prefix, Completion completion);
    // Like list(), but fails with the first page that fails: for answers that a caller waits for.
    void listOnce(const std::string &prefix, Completion completion);
    void watch(const std::string &prefix, platform::StoreRevision after,
               std::chrono::milliseconds wait, Completion completion, bool onNewConnection = false);
    void transaction(const platform::StoreTransaction &transaction, Completion completion);
    void grantLease(std::chrono::milliseconds timeToLive, Completion completion);
    void renewLease(platform::LeaseId lease, Completion completion);
    void revokeLease(platform::LeaseId lease, Completion completion);

    // Sends a call to find out whether the store answers. Probes do not wait for earlier ones,
    // because a call that is sent while the store is unavailable is never answered.
    void probe();
    // Time since the last answer of the store if a call has failed since then; else zero.
    Duration outageDuration(TimePoint now) const;
    std::uint64_t calls() const { return m_calls; }

private:
    // An unanswered watch does not count as a failure: there may have been no change to report.
    void send(net::HttpCall call, std::chrono::milliseconds timeout, Completion completion,
              bool isWatch = false);
    struct Listing;
    void listPage(std::shared_ptr<Listing> listing);
    void handlePage(const std::shared_ptr<Listing> &listing, const platform::StoreReply &page);

    asio::io_context &m_context;
    const Transport m_transport;
    Metrics &m_metrics;
    const platform::StoreCodec m_codec;
    std::uint64_t m_calls = 0;
    TimePoint m_lastAnswer{};
    // A call has failed since the last answer.
    bool m_isFailing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
