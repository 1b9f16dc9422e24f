// Exchanges load reports with peers and sets the dispatcher's share of each minion's slots.
// Connects LoadReporter and FleetLoad to the peer bus. Locking: m_mutex is held neither while a
// message is sent nor while the dispatcher is called.
#pragma once

#include "dispatch/dispatcher.h"
#include "dispatch/fleetload.h"
#include "dispatch/loadreporter.h"
#include "membership/peerbus.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <mutex>

namespace cyclamenlatch::dispatch {

class LoadExchange
{
public:
    // Subscribes to the bus, so it must be constructed before the bus starts.
    LoadExchange(asio::io_context &context, membership::PeerBus &bus, Dispatcher &dispatcher);

    // Must be called after the bus has started.
    void start();
    void stop();

private:
    void receive(const membership::PeerMessage &message);
    void scheduleTick();
    void tick();

    membership::PeerBus &m_bus;
    Dispatcher &m_dispatcher;
    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    FleetLoad m_fleetLoad;
    LoadReporter m_reporter;
    bool m_stopped = false;
    asio::steady_timer m_timer;
};

} // namespace cyclamenlatch::dispatch
