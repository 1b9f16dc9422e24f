// Keeps this entry's outcomes, exchanges digests with peers, and makes reports. A new entry asks
// a peer for the windows, so that replacing an entry loses only what it saw after its last
// digest.
// Lock order: m_mutex is the only lock and is never held while a message is sent.
#pragma once

#include "fleet/fleetdocument.h"
#include "membership/peerbus.h"
#include "report/fleetreport.h"
#include "report/latencyquantiles.h"
#include "report/outcomeobserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace cyclamenlatch::report {

class ReportService
{
public:
    // Subscribes to the report's topic: make it before the bus starts.
    ReportService(asio::io_context &context, membership::PeerBus &peers);

    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    void observe(const ObservedOutcome &outcome);
    // Counts the time within maintenance waves.
    void setWaveRunning(bool running);
    void start();
    // Tells peers what they don't know yet.
    void stop();

    // Empty until there is a fleet document.
    FleetReport makeReport(const std::function<unsigned(const WorkspaceId &)> &heldBack);

private:
    void tick();
    void sendDigest(bool all);
    void askForSnapshot();
    void sendSnapshots(const EntryId &to);
    void take(const membership::PeerMessage &message);
    void countMoves(const fleet::FleetDocument &fleet);
    void countSpareTime(TimePoint now);
    OperationsFigures operations(TimePoint now);

    membership::PeerBus &m_peers;
    asio::steady_timer m_timer;

    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    BurnTable m_table;
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
    std::map<ServiceId, LatencyQuantiles> m_latencies;
    OperationsFigures m_operations;
    TimePoint m_spareCountedAt;
    bool m_waveRunning = false;
    Duration m_waveTime{};
    bool m_snapshotWanted = true;
    bool m_stopped = false;
    unsigned m_ticks = 0;
};

} // namespace cyclamenlatch::report
