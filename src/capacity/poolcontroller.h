// Keeps every worker in the pool where it should be. Every entry follows the records; the one
// that holds the lease moves workers step by step. All state is touched on the strand only.
#pragma once

#include "capacity/assignmentplanner.h"
#include "capacity/automaticmoves.h"
#include "capacity/demandbook.h"
#include "capacity/draining.h"
#include "fleet/fleetdocument.h"
#include "global/ids.h"
#include "maintenance/maintenancerecords.h"
#include "store/leaderlease.h"
#include "store/storeclient.h"
#include "store/storefollower.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cyclamenlatch::capacity {

class PoolController
{
public:
    using Assignments = std::unordered_map<WorkerId, VersionedAssignment>;
    using FleetListener = std::function<void(std::shared_ptr<const fleet::FleetDocument>)>;
    using MoveCompletion = std::function<void(Result<VersionedAssignment>)>;
    // Asks entries for their demand; thread-safe, and doesn't block.
    using DemandAsker = std::function<void()>;
    using ListCompletion = std::function<void(std::vector<VersionedAssignment>)>;

    // The listener gets the document with each worker in the pool of its record, again whenever
    // either changes.
    PoolController(asio::io_context &context, EntryId entry, store::StoreClient &store,
                   Draining draining, FleetListener listener);

    // Without it no worker moves by itself. Set before start.
    void setDemandAsker(DemandAsker asker) { m_askDemand = std::move(asker); }
    // Runs once, when the marks of draining workers were read from the store and taken over. Set
    // before start.
    void setMarksListener(std::function<void()> listener) { m_marksTaken = std::move(listener); }
    void start();
    void stop();
    // All below are thread-safe.
    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // Sets the pool that a worker should be in. With a revision other than 0 the move is made
    // only if the worker's record still has it. Kind Conflict: somebody else changed it first.
    void move(const WorkerId &worker, const PoolId &pool, const std::string &setBy,
              store::StoreRevision revision, MoveCompletion completion);
    void list(ListCompletion completion);
    // What an entry answers to the asker.
    void takeDemand(const EntryId &entry, std::uint64_t incarnation, DemandAnswer answer);

private:
    using Strand = asio::strand<asio::io_context::executor_type>;

    void onLeadership(bool held);
    void take(const store::StoreListing &listing);
    void publish();
    void noteRead() const;
    void armTick();
    void tick();
    // One step of every move, when this entry leads and has read all records.
    void plan();
    void decideMoves();
    void carryOut(const DecidedMove &move);
    DrainMarks drainMarks() const;
    void rereadForNewDrains(const DrainMarks &marks);
    DrainMarks confirmedMarks() const;
    AssignmentView records() const;
    AssignmentView view() const;
    std::unordered_set<WorkerId> workersOut() const;
    bool isWaveUnderWay() const;
    void write(const store::StoreWrite &write);
    bool changesPool(const store::StoreWrite &write) const;
    void logStep(const store::StoreWrite &write, bool moves) const;
    Result<VersionedAssignment> checkedMove(const WorkerId &worker, const PoolId &pool,
                                            const std::string &setBy,
                                            store::StoreRevision revision) const;

    Strand m_strand;
    const EntryId m_entry;
    store::StoreClient &m_store;
    const Draining m_draining;
    const FleetListener m_listener;
    store::LeaderLease m_lease;
    asio::steady_timer m_timer;
    bool m_stopped = false;
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
    // Of the store when the assignments were read; 0 before the first reading.
    store::StoreRevision m_revision = 0;
    Assignments m_assignments;
    // Keys with a write under way.
    std::set<std::string> m_writing;
    DemandAsker m_askDemand;
    std::function<void()> m_marksTaken;
    store::StoreFollower m_follower;
    // Used while leading: the ledgers that waves share.
    store::StoreFollower m_ledgerFollower;
    maintenance::MaintenanceRecords m_ledgers;
    DemandBook m_demand;
    AutomaticMoves m_automatic;
    unsigned m_ticks = 0;
    // The newest drain for which the ledgers' prefix was read anew.
    store::StoreRevision m_rereadFor = 0;
    // Whether entries were told of draining workers and not yet that there are none.
    bool m_asked = false;
};

} // namespace cyclamenlatch::capacity
