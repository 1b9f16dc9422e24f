// The part of the scenario world that keeps hosts: waves, moves between pools, and their checks.
#include "tests/scenarios/world.h"

#include "capacity/assignmentplanner.h"
#include "fleet/selector.h"
#include "maintenance/budget.h"
#include "maintenance/hostorder.h"
#include "maintenance/recordjson.h"
#include "maintenance/waveplanner.h"

#include <fmt/format.h>

namespace cyclamenlatch::scenarios {

namespace {

using capacity::AssignmentStep;
using maintenance::HostStep;
using maintenance::MaintenanceMessage;
using maintenance::poolScope;
using maintenance::WaveState;

constexpr std::size_t ticksPerPass = 4;
constexpr std::size_t ticksPerHostList = 8;
constexpr Duration leaseTime = std::chrono::seconds(6);
constexpr Duration rebootRetryInterval = std::chrono::seconds(1);
constexpr unsigned sendPercent = 15;
constexpr std::chrono::milliseconds longestRequest{600};
// A failure is known to every leader this long after it, while nothing is cut, slow or paused.
constexpr Duration noticeTime = std::chrono::seconds(3);

maintenance::RecordTime recordTime(TimePoint now)
{
    return toMilliseconds(now.time_since_epoch()).count();
}

} // namespace

// --- Verbs ---

World::Failure World::act(const WaveStep &step)
{
    maintenance::WaveRecord record;
    record.wave = WaveId(step.name);
    record.started = record.resumed = recordTime(m_now);
    record.settings.perRack = step.perRack;
    record.settings.reserve = step.reserve;
    record.settings.failuresToPause = step.failuresToPause;
    record.settings.rebootDeadline = toMilliseconds(step.rebootDeadline);
    record.settings.slowStart = toMilliseconds(step.slowStart);
    if (!step.pool.empty()) {
        record.selector = "pool=" + step.pool;
    }
    const auto selector = fleet::Selector::parse(record.selector);
    if (!selector) {
        return selector.error().message;
    }
    record.hosts = maintenance::orderHosts(m_hosts.document(), selector.value(), record.settings);
    m_store.write({maintenance::waveKey(record.wave), writeRecord(record), 0, ""});
    return std::nullopt;
}

World::Failure World::act(const WaveChangeStep &step)
{
    const auto item = m_store.get(maintenance::waveKey(WaveId(step.name)));
    if (!item) {
        return fmt::format("there is no wave \"{}\"", step.name);
    }
    auto record = maintenance::readWaveRecord(item->value).value();
    record.state = step.verb == WaveVerb::Pause ? WaveState::Paused : WaveState::Running;
    record.reason = step.verb == WaveVerb::Pause ? "by an operator" : "";
    record.resumed = step.verb == WaveVerb::Pause ? record.resumed : recordTime(m_now);
    m_store.write({item->key, writeRecord(record), item->revision, ""});
    return std::nullopt;
}

World::Failure World::act(const HostFailureStep &step)
{
    if (!m_hosts.knows(step.worker)) {
        return fmt::format("\"{}\" is no worker", step.worker.value());
    }
    m_hosts.fail(step.worker, m_now, step.time);
    return std::nullopt;
}

World::Failure World::act(const HostReturnStep &step)
{
    if (!m_hosts.knows(step.worker)) {
        return fmt::format("\"{}\" is no worker", step.worker.value());
    }
    m_hosts.setReturns(step.worker, step.returns, m_now);
    return std::nullopt;
}

World::Failure World::act(const MoveStep &step)
{
    auto *slot = findSlot(step.at);
    const auto *worker = m_hosts.document().findWorker(step.worker);
    if (slot == nullptr || !slot->node || worker == nullptr) {
        return fmt::format("\"{}\" does not run or \"{}\" is no worker", step.at.value(),
                           step.worker.value());
    }
    capacity::AssignmentView view;
    view.fleet = &m_hosts.document();
    view.assignments = slot->node->keeper.assignments;
    auto found = assignmentOf(view, *worker);
    found.assignment.desired = step.pool;
    found.assignment.home = worker->pool;
    found.assignment.setBy = "operator";
    const store::StoreWrite write{capacity::assignmentKey(step.worker),
                                  writeAssignment(found.assignment), found.revision, ""};
    callStore(
            *slot->node,
            [this, write] {
                m_store.write(write);
                return true;
            },
            [](EntryNode &, bool) {});
    return std::nullopt;
}

World::Failure World::act(const ExpectWave &step)
{
    const auto item = m_store.get(maintenance::waveKey(WaveId(step.name)));
    if (!item) {
        return fmt::format("there is no wave \"{}\"", step.name);
    }
    const auto record = maintenance::readWaveRecord(item->value).value();
    const auto state = maintenance::waveStateNames.name(record.state);
    if (state == step.state) {
        return std::nullopt;
    }
    std::string hosts;
    for (const auto &[worker, host] : m_records.hosts(record.wave)) {
        hosts += fmt::format(" {} {} {};", worker.value(),
                             maintenance::hostStepNames.name(host.record.step), host.record.note);
    }
    return fmt::format("wave {} is {} {}, expected {}:{}", step.name, state, record.reason,
                       step.state, hosts);
}

World::Failure World::act(const ExpectHost &step)
{
    const auto item = m_store.get(maintenance::hostKey(WaveId(step.wave), step.worker));
    const auto found =
            item ? maintenance::readHostRecord(item->value).value().step : HostStep::Pending;
    const auto name = maintenance::hostStepNames.name(found);
    if (name == step.step) {
        return std::nullopt;
    }
    return fmt::format("{} is {}, expected {}", step.worker.value(), name, step.step);
}

World::Failure World::act(const ExpectReboots &step)
{
    const auto reboots = m_hosts.reboots(step.wave);
    if (reboots >= step.least && reboots <= step.most) {
        return std::nullopt;
    }
    return fmt::format("wave {} has rebooted {} hosts, expected {} to {}", step.wave, reboots,
                       step.least, step.most);
}

World::Failure World::act(const ExpectPool &step)
{
    const auto item = m_store.get(capacity::assignmentKey(step.worker));
    if (!item) {
        return fmt::format("\"{}\" has no record", step.worker.value());
    }
    const auto found = capacity::readAssignment(item->value).value();
    if (found.pool == step.pool && found.step == AssignmentStep::Serving) {
        return std::nullopt;
    }
    return fmt::format("{} is {} in {}, expected to serve {}", step.worker.value(),
                       capacity::assignmentStepNames.name(found.step), found.pool.value(),
                       step.pool.value());
}

// --- Entries ---

void World::tickFleet(EntryNode &node)
{
    if (m_hosts.document().workers.empty()) {
        return;
    }
    sendRequests(node);
    if (m_ticks % ticksPerPass != 0) {
        return;
    }
    readFleetRecords(node);
    if (leads(node, node.address.dataCentre.value())) {
        keepWaves(node);
    }
    if (leads(node, poolScope)) {
        keepPools(node);
    }
}

// Sends to every worker that the entry doesn't know as leaving, for the pool that it believes in.
void World::sendRequests(EntryNode &node)
{
    if (node.leaving) {
        return;
    }
    const auto leaving = node.keeper.marks.workers();
    const auto document = withAssignments(m_hosts.document(), node.keeper.assignments);
    for (const auto &worker : document.workers) {
        const bool reachable =
                m_network.carries(node.address.dataCentre.value(), worker.dataCentre.value())
                && m_network.carries(worker.dataCentre.value(), node.address.dataCentre.value());
        const bool sends = uniformBelow(m_random, 100) < sendPercent;
        if (!sends || !reachable || !m_hosts.isUp(worker.id) || leaving.contains(worker.id)) {
            continue;
        }
        const auto time = std::chrono::milliseconds(
                uniformBelow(m_random, static_cast<std::uint32_t>(longestRequest.count())));
        const auto failure = m_hosts.send(
                {node.address.entry, node.incarnation, worker.id, worker.pool, m_now + time});
        m_broken = m_broken ? m_broken : failure;
    }
}

void World::readFleetRecords(EntryNode &node)
{
    callStore(node, nullptr, [this](EntryNode &reader, bool answered) {
        if (!answered) {
            return;
        }
        auto &keeper = reader.keeper;
        keeper.records.take(storeChanges(maintenance::recordPrefix, keeper.records.revision()));
        const auto listing = storeChanges(capacity::assignmentPrefix, keeper.assignmentsRevision);
        if (listing.revision < keeper.assignmentsRevision) {
            return;
        }
        keeper.assignmentsRevision = listing.revision;
        for (const auto &item : listing.items) {
            const auto assignment = capacity::readAssignment(item.value).value();
            auto &kept = keeper.assignments[assignment.worker];
            if (item.revision > kept.revision) {
                kept = {assignment, item.revision};
            }
        }
        std::unordered_map<WorkerId, store::StoreRevision> read;
        for (const auto &[worker, found] : keeper.assignments) {
            read[worker] = found.revision;
        }
        keeper.marks.noteRead(keeper.assignmentsRevision, std::move(read));
    });
}

void World::listHosts(EntryNode &node)
{
    callStore(node, nullptr, [this](EntryNode &reader, bool answered) {
        if (answered) {
            reader.keeper.health.takeList(m_hosts.list(), m_now);
        }
    });
}

// Renews or takes the lease of the scope where the platform can be reached.
bool World::leads(EntryNode &node, const std::string &scope)
{
    auto &trusted = node.keeper.leadsUntil[scope];
    if (!storeReachable(node)) {
        return m_now < trusted;
    }
    auto &lease = m_leases[scope];
    const bool own = lease.holder == node.address.entry && lease.incarnation == node.incarnation;
    if (node.leaving || (!own && m_now < lease.end)) {
        return false;
    }
    lease = {node.address.entry, node.incarnation, m_now + leaseTime};
    trusted = lease.end;
    return true;
}

void World::keepWaves(EntryNode &node)
{
    auto &keeper = node.keeper;
    if (keeper.records.revision() == 0) {
        return;
    }
    if (m_ticks % ticksPerHostList == 0) {
        listHosts(node);
    }
    const auto &scope = node.address.dataCentre;
    maintenance::DrainPoll poll{scope.value(), keeper.records.revision(), {}};
    for (const auto &[wave, record] : keeper.records.waves()) {
        for (const auto &[worker, host] : keeper.records.hosts(wave)) {
            if (host.record.dataCentre == scope && isLeaving(host.record.step)) {
                poll.marks.push_back({worker, host.revision});
            }
        }
    }
    ask(node, poll);
    for (const auto &[wave, record] : keeper.records.waves()) {
        maintenance::WaveView view;
        view.dataCentre = scope;
        view.wave = record;
        view.hosts = keeper.records.hosts(wave);
        view.ledgers = keeper.records.ledgers();
        view.budgets = budgetsOf(m_hosts.document(), record.record.settings);
        for (const auto &worker : m_hosts.document().workers) {
            view.placement[worker.id] = worker.dataCentre;
        }
        keeper.health.fill(view.observed);
        view.observed.quiet = quietOf(node, scope.value());
        for (const auto &action : planWave(view, recordTime(m_now))) {
            if (const auto *write = std::get_if<store::StoreWrite>(&action)) {
                writeFleetRecord(node, *write);
            } else {
                askReboot(node, std::get<maintenance::RebootRequest>(action));
            }
        }
    }
}

void World::keepPools(EntryNode &node)
{
    auto &keeper = node.keeper;
    if (keeper.assignmentsRevision == 0) {
        return;
    }
    maintenance::DrainPoll poll{poolScope, keeper.assignmentsRevision, {}};
    for (const auto &[worker, found] : keeper.assignments) {
        if (found.assignment.step == AssignmentStep::Draining) {
            poll.marks.push_back({worker, found.revision});
        }
    }
    ask(node, poll);
    capacity::AssignmentView view;
    view.fleet = &m_hosts.document();
    view.assignments = keeper.assignments;
    view.quiet = quietOf(node, poolScope);
    for (const auto &write : planAssignments(view, recordTime(m_now))) {
        writeFleetRecord(node, write);
    }
}

void World::ask(EntryNode &node, const maintenance::DrainPoll &poll)
{
    for (const auto &[entry, slot] : m_slots) {
        if (entry != node.address.entry) {
            send(node, entry, MaintenanceMessage(poll));
        }
    }
    node.keeper.collectors[poll.scope].take(node.address.entry, node.incarnation,
                                            answerPoll(node, poll), m_now);
}

maintenance::DrainAnswer World::answerPoll(EntryNode &node, const maintenance::DrainPoll &poll)
{
    auto &marks = node.keeper.marks;
    marks.take(poll);
    maintenance::DrainAnswer answer{poll.scope, {}};
    for (const auto &mark : marks.marks(poll.scope)) {
        const auto inFlight = m_hosts.inFlight(node.address.entry, node.incarnation, mark.worker);
        answer.states.push_back({mark, inFlight, 0});
    }
    return answer;
}

void World::receiveMaintenance(EntryNode &node, const Envelope &envelope)
{
    const auto &message = std::get<MaintenanceMessage>(envelope.body);
    if (const auto *poll = std::get_if<maintenance::DrainPoll>(&message)) {
        send(node, envelope.from, MaintenanceMessage(answerPoll(node, *poll)));
        return;
    }
    const auto &answer = std::get<maintenance::DrainAnswer>(message);
    node.keeper.collectors[answer.scope].take(envelope.from, envelope.incarnation, answer, m_now);
}

std::unordered_map<WorkerId, store::StoreRevision> World::quietOf(const EntryNode &node,
                                                                  const std::string &scope) const
{
    const auto collector = node.keeper.collectors.find(scope);
    if (collector == node.keeper.collectors.end()) {
        return {};
    }
    return collector->second.quiet(node.keeper.marks.marks(scope), entries(), m_now);
}

// Skips a key whose last write is not resolved or not yet part of the reading.
void World::writeFleetRecord(EntryNode &node, const store::StoreWrite &write)
{
    auto &keeper = node.keeper;
    const auto written = keeper.written.find(write.key);
    const bool isRead = written == keeper.written.end()
                        || written->second <= keeper.records.revisionOf(write.key)
                        || write.key.starts_with(capacity::assignmentPrefix);
    if (!isRead || !keeper.writing.insert(write.key).second) {
        return;
    }
    auto revision = std::make_shared<std::optional<store::StoreRevision>>();
    callStore(
            node,
            [this, write, revision] {
                *revision = m_store.write(write);
                if (*revision && write.key.starts_with(maintenance::hostPrefix)) {
                    const auto record = maintenance::readHostRecord(write.value).value();
                    m_broken = m_broken ? m_broken : checkTaken(record);
                }
                return true;
            },
            [key = write.key, revision](EntryNode &writer, bool answered) {
                writer.keeper.writing.erase(key);
                if (answered && *revision) {
                    writer.keeper.written[key] = **revision;
                }
            });
}

void World::askReboot(EntryNode &node, const maintenance::RebootRequest &request)
{
    auto &asked = node.keeper.rebootAsked[request.attempt];
    if (asked != TimePoint{} && m_now < asked + rebootRetryInterval) {
        return;
    }
    asked = m_now;
    callStore(
            node,
            [this, request] {
                const auto failure = m_hosts.reboot(request.worker, request.attempt, m_now);
                m_broken = m_broken ? m_broken : failure;
                return true;
            },
            [](EntryNode &, bool) {});
}

// --- Invariants ---

// Whether leaders have lately known of everything that happened.
bool World::isQuietTime() const
{
    return m_now >= m_lastLinkChange + noticeTime && m_now >= m_lastStoreFault + noticeTime
           && m_network.losesNothing();
}

// No host is taken beyond a budget, failures that its leader had to know included.
World::Failure World::checkTaken(const maintenance::HostRecord &record) const
{
    if (record.step != HostStep::Leaving || !isQuietTime()) {
        return std::nullopt;
    }
    const auto &wave = m_records.waves().at(record.wave).record;
    const auto table = budgetsOf(m_hosts.document(), wave.settings);
    for (const auto index : table.touched.at(record.worker)) {
        const auto &budget = table.budgets[index];
        std::size_t out = 0;
        for (const auto &member : budget.members) {
            const auto hosts = m_records.hosts(record.wave);
            const auto host = hosts.find(member);
            const bool leaving = member == record.worker
                                 || (host != hosts.end() && isLeaving(host->second.record.step));
            const bool failed =
                    !m_hosts.isUp(member) && m_now >= m_hosts.downSince(member) + noticeTime;
            out += leaving || failed ? 1 : 0;
        }
        if (out > budget.maxOut) {
            return fmt::format("taking {} leaves {} out of {}, which allows {}",
                               record.worker.value(), out, budget.name, budget.maxOut);
        }
    }
    return std::nullopt;
}

// The hosts that waves hold out never exceed a budget, whatever leaders have read.
World::Failure World::checkWaves()
{
    const auto listing = m_store.changes(maintenance::recordPrefix, m_records.revision());
    if (listing.items.empty()) {
        return std::nullopt;
    }
    m_records.take(listing);
    std::set<WorkerId> leaving;
    for (const auto &[wave, record] : m_records.waves()) {
        for (const auto &[worker, host] : m_records.hosts(wave)) {
            if (isLeaving(host.record.step)) {
                leaving.insert(worker);
            }
        }
    }
    for (const auto &[wave, record] : m_records.waves()) {
        for (const auto &budget : budgetsOf(m_hosts.document(), record.record.settings).budgets) {
            const auto out =
                    std::count_if(budget.members.begin(), budget.members.end(),
                                  [&](const WorkerId &member) { return leaving.contains(member); });
            if (static_cast<std::size_t>(out) > budget.maxOut) {
                return fmt::format("waves hold {} of {} out, which allows {}", out, budget.name,
                                   budget.maxOut);
            }
        }
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::scenarios
