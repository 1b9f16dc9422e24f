// Leadership of one task by a lease in the store: at most one holder at a time, as far as clocks
// allow. A holder that is paused may believe in its leadership after the lease has lapsed, so
// leadership only avoids double work; what must not happen twice is guarded by conditional
// writes. All functions and callbacks run on the strand.
#pragma once

#include "global/time.h"
#include "store/storeclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace cyclamenlatch::store {

class LeaderLease
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;

    static constexpr std::chrono::milliseconds timeToLive{6000};
    static constexpr std::chrono::milliseconds retryInterval{1000};

    // key holds the leader's name while there is one.
    LeaderLease(Strand strand, StoreClient &store, std::string key, std::string name,
                std::function<void(bool)> onChange);

    void start();
    // Gives the lease back, so that another entry need not wait for it to lapse.
    void stop();
    bool held() const { return m_held; }

private:
    void tick();
    void tryToLead();
    void acquire(const std::string &lease);
    void renew();
    void setHeld(bool held);

    Strand m_strand;
    StoreClient &m_store;
    const std::string m_key;
    const std::string m_name;
    const std::function<void(bool)> m_onChange;
    asio::steady_timer m_timer;
    bool m_stopped = false;
    bool m_busy = false;
    bool m_held = false;
    std::string m_lease;
    // The lease is trusted until then.
    TimePoint m_trustedUntil;
};

} // namespace cyclamenlatch::store
