// Tells peers this entry's load, hears theirs, and keeps the dispatcher's part of each minion's
// slots right: the shell around LoadReporter and FleetLoad.
// Lock order: m_mutex is held neither while a message is sent nor while the dispatcher is called.
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
    // Subscribes to the bus, so it must be made before the bus starts.
    LoadExchange(asio::io_context &context, membership::PeerBus &bus, Dispatcher &dispatcher);

    // Call once the bus has started.
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
    FleetLoad m_fleet;
    LoadReporter m_sender;
    bool m_stopped = false;
    asio::steady_timer m_timer;
};

} // namespace cyclamenlatch::dispatch
