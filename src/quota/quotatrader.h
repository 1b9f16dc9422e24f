// Runs a table's agent: messages over the peer bus, records in the store, time from a timer.
// Lock order: m_mutex guards the timer and the flags; the table's lock is never taken under it.
#pragma once

#include "fleet/fleetdocument.h"
#include "membership/member.h"
#include "membership/peerbus.h"
#include "quota/quotatable.h"
#include "store/storeclient.h"

#include <asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace cyclamenlatch::quota {

class QuotaTrader
{
public:
    QuotaTrader(asio::io_context &context, membership::PeerBus &bus, store::StoreClient &store,
                QuotaTable &table, std::uint64_t seed);

    void start();
    // Thread-safe. revision is the store's revision of the document.
    void setFleet(const fleet::FleetDocument &fleet, store::StoreRevision revision);
    void setLive(const std::vector<membership::Member> &live);
    // Hands units back until none are left or the deadline has passed; blocks.
    void leave(TimePoint deadline);
    void stop();

private:
    void scheduleTick();
    void tick();
    // Reads every record once, then follows their changes.
    void list();
    void watch(store::StoreRevision after);
    void retryLater(std::function<void()> action);
    void takeListing(const store::StoreListing &listing);
    void write(const store::StoreWrite &write);
    void takeWriteResult(const store::StoreWrite &write,
                         const Result<store::StoreRevision> &revision);
    void readBack(const std::string &key);
    void receive(const membership::PeerMessage &message);
    void reportState();

    membership::PeerBus &m_bus;
    store::StoreClient &m_store;
    QuotaTable &m_table;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    asio::steady_timer m_timer;
    asio::steady_timer m_watchRetry;
    std::atomic<bool> m_stopped = false;
    // Used under the table's lock only.
    Random m_random;
    // Used by the tick only.
    bool m_registered = false;
    bool m_revoked = false;
};

} // namespace cyclamenlatch::quota
