// This process's calls to the platform's store: one try each, with a time limit, and what is known
// of the store's health from how they end. Runs on the context's one thread.
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

    PlatformStoreClient(asio::io_context &context, net::LoopHttpClient &http,
                        const std::string &address, Metrics &metrics);

    void get(const std::string &key, Completion completion);
    // All pages. Each is tried again for some time when it fails, so that a long list over a thin
    // or shaky link does not begin anew, unless somebody waits for the answer. The revision is the
    // store's at the first page, so that a watch from there misses nothing that a later page is too
    // old for.
    void list(const std::string &prefix, Completion completion);
    void listOnce(const std::string &prefix, Completion completion);
    void watch(const std::string &prefix, platform::StoreRevision after,
               std::chrono::milliseconds wait, Completion completion);
    void transaction(const platform::StoreTransaction &transaction, Completion completion);
    void grantLease(std::chrono::milliseconds timeToLive, Completion completion);
    void renewLease(platform::LeaseId lease, Completion completion);
    void revokeLease(platform::LeaseId lease, Completion completion);

    // Asks whether the store answers. What is sent while it is silent is never answered, so that
    // probes do not wait for each other.
    void probe();
    // No call has been answered for this long, and one has failed since; zero: it answers.
    Duration outageDuration(TimePoint now) const;
    std::uint64_t calls() const { return m_calls; }

private:
    // A watch that is not answered says little of the store: nothing may have changed.
    void send(net::HttpCall call, std::chrono::milliseconds timeout, Completion completion,
              bool isWatch = false);
    struct Listing;
    void listPage(std::shared_ptr<Listing> listing);
    void handlePage(const std::shared_ptr<Listing> &listing, const platform::StoreReply &page);

    asio::io_context &m_context;
    net::LoopHttpClient &m_http;
    Metrics &m_metrics;
    const platform::StoreCodec m_codec;
    std::uint64_t m_calls = 0;
    TimePoint m_lastAnswer{};
    // Set from the first failure after an answer.
    bool m_isFailing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
