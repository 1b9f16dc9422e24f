// The I/O around the assignment planner.
#include "capacity/poolcontroller.h"

#include "capacity/capacityevents.h"
#include "maintenance/recordjson.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::capacity {

namespace {

constexpr const char *leaderKey = "pool-leaders/fleet";
constexpr std::chrono::milliseconds tickInterval{250};
// Moves are decided once in so many ticks.
constexpr unsigned ticksPerDecision = 4;

std::int64_t recordNow()
{
    return wallNow().time_since_epoch().count();
}

} // namespace

PoolController::PoolController(asio::io_context &context, EntryId entry, store::StoreClient &store,
                               Draining draining, FleetListener listener)
    : m_strand(asio::make_strand(context))
    , m_entry(std::move(entry))
    , m_store(store)
    , m_draining(std::move(draining))
    , m_listener(std::move(listener))
    , m_lease(m_strand, store, leaderKey, m_entry.value(),
              [this](bool held) { onLeadership(held); })
    , m_timer(m_strand)
    , m_follower(m_strand, store, assignmentPrefix,
                 [this](const store::StoreListing &listing, bool) { take(listing); })
    , m_ledgerFollower(m_strand, store, maintenance::recordPrefix,
                       [this](const store::StoreListing &listing, bool isWhole) {
                           if (isWhole) {
                               m_ledgers = maintenance::MaintenanceRecords();
                           }
                           m_ledgers.take(listing);
                           plan();
                       })
{}

void PoolController::start()
{
    m_lease.start();
    asio::post(m_strand, [this] {
        m_follower.start();
        armTick();
    });
}

void PoolController::stop()
{
    asio::post(m_strand, [this] {
        m_stopped = true;
        m_lease.stop();
        m_timer.cancel();
        m_follower.stop();
        m_ledgerFollower.stop();
    });
}

void PoolController::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    asio::post(m_strand, [this, fleet = std::move(fleet)] {
        m_fleet = fleet;
        publish();
    });
}

void PoolController::onLeadership(bool held)
{
    if (m_stopped) {
        return;
    }
    logEvent(held ? poolLeadershipTaken : poolLeadershipLost, "{}", m_entry.value());
    m_ledgers = maintenance::MaintenanceRecords();
    m_automatic.restart();
    held ? m_ledgerFollower.start() : m_ledgerFollower.stop();
}

void PoolController::take(const store::StoreListing &listing)
{
    if (listing.revision < m_revision) {
        return;
    }
    m_revision = listing.revision;
    bool placesChanged = false;
    for (const auto &item : listing.items) {
        const WorkerId worker(item.key.substr(std::string_view(assignmentPrefix).size()));
        if (item.deleted) {
            placesChanged = m_assignments.erase(worker) > 0 || placesChanged;
            continue;
        }
        auto assignment = readAssignment(item.value);
        if (!assignment) {
            logEvent(assignmentMalformed, "{}", item.key);
            continue;
        }
        auto &kept = m_assignments[worker];
        if (item.revision > kept.revision) {
            placesChanged = placesChanged || kept.revision == 0
                            || kept.assignment.pool != assignment.value().pool;
            kept = {std::move(assignment.value()), item.revision};
        }
    }
    if (m_marksTaken) {
        m_draining.take(m_revision, drainMarks());
        std::exchange(m_marksTaken, nullptr)();
    }
    if (placesChanged) {
        publish();
    }
    noteRead();
    plan();
}

// After publishing: a worker whose mark is lifted by this must be in its new pool already.
void PoolController::noteRead() const
{
    DrainMarks read;
    for (const auto &[worker, found] : m_assignments) {
        read[worker] = found.revision;
    }
    m_draining.noteRead(m_revision, std::move(read));
}

void PoolController::publish()
{
    if (m_fleet) {
        m_listener(std::make_shared<const fleet::FleetDocument>(
                withAssignments(*m_fleet, m_assignments)));
    }
}

void PoolController::armTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error || m_stopped) {
            return;
        }
        tick();
        armTick();
    });
}

void PoolController::tick()
{
    plan();
    const bool isTurn = ++m_ticks % ticksPerDecision == 0;
    if (isTurn && m_lease.held() && m_askDemand) {
        m_askDemand();
        decideMoves();
    }
}

void PoolController::plan()
{
    if (m_stopped || !m_lease.held() || !m_fleet || m_revision == 0 || m_ledgers.revision() == 0) {
        return;
    }
    const auto marks = drainMarks();
    rereadForNewDrains(marks);
    if (!marks.empty() || m_asked) {
        m_draining.ask(m_revision, marks);
        m_asked = !marks.empty();
    }
    for (const auto &planned : planAssignments(view(), recordNow())) {
        write(planned);
    }
}

void PoolController::decideMoves()
{
    if (!m_fleet || m_revision == 0 || m_ledgers.revision() == 0) {
        return;
    }
    LendingView lending;
    lending.fleet = m_fleet.get();
    lending.assignments = &m_assignments;
    lending.out = workersOut();
    lending.loads = m_demand.loads(steadyNow());
    lending.now = recordNow();
    for (const auto &move : m_automatic.decide(lending)) {
        carryOut(move);
    }
}

void PoolController::carryOut(const DecidedMove &move)
{
    if (!m_writing.insert(move.write.key).second) {
        return;
    }
    m_store.compareAndSwap(move.write, [this, move](const Result<store::StoreRevision> &result) {
        asio::post(m_strand, [this, move, written = result.has_value()] {
            m_writing.erase(move.write.key);
            if (written) {
                logEvent(moveDecided, "{}", move.decision.toString());
            }
        });
    });
}

DrainMarks PoolController::drainMarks() const
{
    DrainMarks marks;
    for (const auto &[worker, found] : m_assignments) {
        if (found.assignment.step == AssignmentStep::Draining) {
            marks[worker] = found.revision;
        }
    }
    return marks;
}

// Who must confirm a drain is read after the drain was recorded: an entry that recorded itself
// before it is in that reading, and one that did so later has read the drain.
void PoolController::rereadForNewDrains(const DrainMarks &marks)
{
    store::StoreRevision newest = 0;
    for (const auto &[worker, revision] : marks) {
        newest = std::max(newest, revision);
    }
    if (newest > m_ledgers.revision() && newest > m_rereadFor) {
        m_rereadFor = newest;
        m_ledgerFollower.start();
    }
}

DrainMarks PoolController::confirmedMarks() const
{
    auto marks = m_draining.quiet(m_ledgers.entries());
    std::erase_if(marks, [this](const auto &mark) { return mark.second > m_ledgers.revision(); });
    return marks;
}

AssignmentView PoolController::records() const
{
    AssignmentView view;
    view.fleet = m_fleet.get();
    view.assignments = m_assignments;
    return view;
}

AssignmentView PoolController::view() const
{
    auto view = records();
    view.quiet = confirmedMarks();
    view.ledgers.records = m_ledgers.ledgers();
    view.ledgers.budgets = maintenance::budgetsOf(withAssignments(*m_fleet, m_assignments), {});
    view.ledgers.countOutages = isWaveUnderWay();
    return view;
}

bool PoolController::isWaveUnderWay() const
{
    const auto &waves = m_ledgers.waves();
    return std::any_of(waves.begin(), waves.end(), [](const auto &item) {
        return item.second.record.state != maintenance::WaveState::Done;
    });
}

// Workers that a wave has, and those that failed.
std::unordered_set<WorkerId> PoolController::workersOut() const
{
    const bool countOutages = isWaveUnderWay();
    std::unordered_set<WorkerId> out;
    for (const auto &[name, ledger] : m_ledgers.ledgers()) {
        for (const auto &claim : ledger.record.claims) {
            if (!attemptOf(claim.wave)) {
                out.insert(claim.worker);
            }
        }
        for (const auto &outage : ledger.record.outages) {
            if (countOutages) {
                out.insert(outage.worker);
            }
        }
    }
    return out;
}

void PoolController::takeDemand(const EntryId &entry, std::uint64_t incarnation,
                                DemandAnswer answer)
{
    asio::post(m_strand, [this, entry, incarnation, answer = std::move(answer)] {
        m_demand.take(entry, incarnation, answer, steadyNow());
    });
}

void PoolController::write(const store::StoreWrite &write)
{
    if (!m_writing.insert(write.key).second) {
        return;
    }
    const bool moves = changesPool(write);
    m_store.compareAndSwap(write, [this, write, moves](Result<store::StoreRevision> revision) {
        asio::post(m_strand, [this, write, moves, written = revision.has_value()] {
            m_writing.erase(write.key);
            if (written) {
                logStep(write, moves);
            }
        });
    });
}

// Not so for a worker's first record, and for one that is taken back before it has left.
bool PoolController::changesPool(const store::StoreWrite &write) const
{
    if (!write.key.starts_with(assignmentPrefix)) {
        return false;
    }
    const auto assignment = readAssignment(write.value).value();
    const auto known = m_assignments.find(assignment.worker);
    return known != m_assignments.end() && known->second.assignment.pool != assignment.pool;
}

void PoolController::logStep(const store::StoreWrite &write, bool moves) const
{
    if (!write.key.starts_with(assignmentPrefix)) {
        return;
    }
    const auto assignment = readAssignment(write.value).value();
    logEvent(moves ? workerMoved : assignmentStepped, "{} is {} in {}, should be in {}",
             assignment.worker.value(), assignmentStepNames.name(assignment.step),
             assignment.pool.value(), assignment.desired.value());
}

void PoolController::move(const WorkerId &worker, const PoolId &pool, const std::string &setBy,
                          store::StoreRevision revision, MoveCompletion completion)
{
    asio::post(m_strand, [this, worker, pool, setBy, revision, completion = std::move(completion)] {
        auto changed = checkedMove(worker, pool, setBy, revision);
        if (!changed) {
            return completion(changed.error());
        }
        const auto &assignment = changed.value().assignment;
        m_store.compareAndSwap(
                {assignmentKey(worker), writeAssignment(assignment), changed.value().revision, ""},
                [assignment, completion](Result<store::StoreRevision> written) {
                    if (!written) {
                        return completion(written.error());
                    }
                    logEvent(moveDecided, "{} to {} by {}", assignment.worker.value(),
                             assignment.desired.value(), assignment.setBy);
                    completion(VersionedAssignment{assignment, written.value()});
                });
    });
}

Result<VersionedAssignment> PoolController::checkedMove(const WorkerId &worker, const PoolId &pool,
                                                        const std::string &setBy,
                                                        store::StoreRevision revision) const
{
    if (!m_fleet || m_revision == 0) {
        return failure(ErrorKind::Unavailable, "this entry does not know the workers yet",
                       "wait until it is ready, or ask another entry");
    }
    const auto *known = m_fleet->findWorker(worker);
    const bool knownPool =
            std::any_of(m_fleet->pools.begin(), m_fleet->pools.end(),
                        [&](const fleet::Pool &candidate) { return candidate.id == pool; });
    if (known == nullptr || !knownPool) {
        return failure(
                ErrorKind::NotFound,
                fmt::format("there is no worker {} or no pool {}", worker.value(), pool.value()),
                "add it to the fleet document first, or correct the name");
    }
    auto found = assignmentOf(records(), *known);
    if (revision != 0 && found.revision != revision) {
        return failure(ErrorKind::Conflict,
                       fmt::format("{} was sent to {} by {} meanwhile", worker.value(),
                                   found.assignment.desired.value(), found.assignment.setBy),
                       "look at worker list, then decide again");
    }
    found.assignment.desired = pool;
    found.assignment.home = known->pool;
    found.assignment.setBy = setBy;
    return found;
}

void PoolController::list(ListCompletion completion)
{
    asio::post(m_strand, [this, completion = std::move(completion)] {
        std::vector<VersionedAssignment> all;
        if (m_fleet) {
            const auto known = records();
            for (const auto &worker : m_fleet->workers) {
                all.push_back(assignmentOf(known, worker));
            }
        }
        completion(std::move(all));
    });
}

} // namespace cyclamenlatch::capacity
