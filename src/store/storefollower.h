// Follows the keys under a prefix: one whole list, then a watch without gaps; after a failed call
// it begins with a list again. All functions and callbacks run on the strand.
#pragma once

#include "store/storeclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace cyclamenlatch::store {

class StoreFollower
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;
    // isWhole: the listing has every key under the prefix, so that a key that isn't in it is gone.
    using Listener = std::function<void(const StoreListing &listing, bool isWhole)>;

    StoreFollower(Strand strand, StoreClient &store, std::string prefix, Listener listener);

    // Begins anew when it runs already.
    void start();
    void stop();

private:
    static constexpr std::chrono::milliseconds watchWait{10000};
    static constexpr std::chrono::milliseconds retryInterval{500};

    void list();
    void watch();
    void take(unsigned run, bool isWhole, const Result<StoreListing> &listing);
    void retry();

    Strand m_strand;
    StoreClient &m_store;
    const std::string m_prefix;
    const Listener m_listener;
    asio::steady_timer m_timer;
    // Answers to calls of an earlier run are left alone.
    unsigned m_run = 0;
    bool m_stopped = true;
    // Of the store at the last answer.
    StoreRevision m_revision = 0;
};

} // namespace cyclamenlatch::store
