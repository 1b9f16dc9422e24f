// The scenario world's clock, processes, store and invariants.
#include "tests/scenarios/world.h"

#include "configuration/confighead.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::scenarios {

namespace {

constexpr TimePoint startOfTime{std::chrono::hours(1)};
constexpr Duration tickTime = std::chrono::milliseconds(50);
// Work runs at most this long; a gone entry's units are locked as long.
constexpr Duration longestWork = std::chrono::seconds(5);
constexpr Duration shortestWork = std::chrono::milliseconds(100);
constexpr Duration claimTimeout = std::chrono::seconds(2);
constexpr Duration resendInterval = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds reportGrace{5000};
// A withdrawn key must be refused this long after its withdrawal is durable.
constexpr Duration withdrawalBound = configuration::freshnessBound + tickTime;

WallTime wallTime(TimePoint now)
{
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
}

quota::QuotaResource limitResource(const std::string &workspace)
{
    return quota::limitOf(WorkspaceId(workspace));
}

} // namespace

World::World(const Scenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_now(startOfTime)
    , m_hosts(scenario)
    , m_limits(scenario.workspaces)
{
    std::uint16_t port = 1;
    for (const auto &[dataCentre, count] : scenario.dataCentres) {
        for (unsigned number = 1; number <= count; ++number) {
            const EntryId entry(fmt::format("{}.{}", dataCentre, number));
            auto &slot = m_slots[entry];
            slot.address = {entry, DataCentreId(dataCentre), "127.0.0.1", port++};
        }
    }
    m_store.write({configuration::headKey, "revision 1", 0, ""});
    for (auto &[entry, slot] : m_slots) {
        start(slot);
    }
}

std::optional<std::string> World::run()
{
    for (const auto &step : m_scenario.steps) {
        if (const auto failure = perform(step.action)) {
            return fmt::format("line {}: {}; seed {}", step.line, *failure, m_scenario.seed);
        }
    }
    return std::nullopt;
}

std::optional<std::string> World::perform(const Action &action)
{
    return std::visit([this](const auto &step) { return act(step); }, action);
}

std::vector<EntryId> World::entries() const
{
    std::vector<EntryId> entries;
    for (const auto &[entry, slot] : m_slots) {
        entries.push_back(entry);
    }
    return entries;
}

// --- Verbs ---

World::Failure World::act(const RunStep &step)
{
    for (Duration passed{}; passed < step.time; passed += tickTime) {
        tick();
        if (auto failure = checkInvariants()) {
            return fmt::format("after {:.2f} s: {}", toSeconds(m_now - startOfTime), *failure);
        }
    }
    return std::nullopt;
}

World::Failure World::act(const CutStep &step)
{
    m_lastLinkChange = m_now;
    m_network.cut(step.from, step.to, step.oneWay);
    return std::nullopt;
}

World::Failure World::act(const IsolateStep &step)
{
    m_lastLinkChange = m_now;
    for (const auto &[dataCentre, count] : m_scenario.dataCentres) {
        if (dataCentre != step.dataCentre) {
            m_network.cut(step.dataCentre, dataCentre, false);
        }
    }
    m_network.cut(step.dataCentre, VirtualNetwork::platformPlace, false);
    return std::nullopt;
}

World::Failure World::act(const HealStep &)
{
    m_lastLinkChange = m_now;
    m_network.heal();
    return std::nullopt;
}

World::Failure World::act(const NetworkStep &step)
{
    m_lastLinkChange = m_now;
    m_network.setQuality(step);
    return std::nullopt;
}

World::Failure World::act(const StoreStep &step)
{
    if (step.stale && !m_oldStore) {
        m_oldStore = m_store;
    }
    if (!step.stale) {
        m_oldStore.reset();
    }
    m_storeFaults = step;
    return std::nullopt;
}

World::Failure World::act(const ProcessStep &step)
{
    const auto slots = slotsOf(step.target);
    if (slots.empty()) {
        return fmt::format("\"{}\" is no entry or data centre", step.target);
    }
    for (auto *slot : slots) {
        if (step.verb == ProcessVerb::Start) {
            start(*slot);
        } else if (slot->node && step.verb == ProcessVerb::Kill) {
            kill(*slot);
        } else if (slot->node && step.verb == ProcessVerb::Leave) {
            slot->node->leaving = true;
            slot->node->quota.leave();
        } else if (slot->node) {
            slot->node->paused = step.verb == ProcessVerb::Pause;
            m_lastLinkChange = m_now;
        }
    }
    return std::nullopt;
}

World::Failure World::act(const LimitStep &step)
{
    m_limits[step.workspace] = step.units;
    ++m_limitRevision;
    return std::nullopt;
}

World::Failure World::act(const DemandStep &step)
{
    for (auto *slot : slotsOf(step.place)) {
        slot->demand[step.workspace] = step.units;
        if (slot->node) {
            slot->node->demand[step.workspace] = step.units;
        }
    }
    return std::nullopt;
}

World::Failure World::act(const ApplyStep &step)
{
    const auto current = m_store.get(configuration::headKey);
    const auto document = fmt::format("revision {}", m_store.revision() + 1);
    const auto revision =
            m_store.write({configuration::headKey, document, current->revision, ""}).value();
    auto *slot = findSlot(step.at);
    if (slot != nullptr && slot->node) {
        perform(*slot->node, slot->node->spread.takeHead(revision, document, m_now));
    }
    return std::nullopt;
}

World::Failure World::act(const WithdrawStep &step)
{
    auto *slot = findSlot(step.at);
    if (slot == nullptr || !slot->node) {
        return fmt::format("\"{}\" does not run", step.at.value());
    }
    m_withdrawals.emplace(step.key, Withdrawal{});
    perform(*slot->node, slot->node->spread.withdraw({KeyId(step.key)}));
    return std::nullopt;
}

World::Failure World::act(const SubmitStep &step)
{
    auto *slot = findSlot(step.at);
    if (slot == nullptr) {
        return fmt::format("\"{}\" is no entry", step.at.value());
    }
    auto &key = m_keys[step.key];
    if (key.empty()) {
        key = fmt::format("{}-{}-{:08}", step.home.value(),
                          wallTime(m_now).time_since_epoch().count(), m_keys.size());
    }
    if (!slot->node || slot->node->paused) {
        // The caller finds the entry silent.
        return std::nullopt;
    }
    auto &node = *slot->node;
    Attempt attempt;
    attempt.claim.scope = key;
    attempt.claim.key = key;
    attempt.claim.attempt =
            fmt::format("{}-{}-{}", step.at.value(), node.incarnation, node.nextAttempt++);
    attempt.claim.fingerprint = 1;
    attempt.claim.timeoutMilliseconds =
            static_cast<std::uint32_t>(toMilliseconds(longestWork).count());
    // The key says where its home is, whatever a later caller thinks.
    attempt.home = dispatch::parseIdempotencyKey(key).value().home;
    attempt.givenUpAt = m_now + claimTimeout;
    attempt.work = step.work;
    const auto name = attempt.claim.attempt;
    const auto placed = node.attempts.emplace(name, std::move(attempt)).first;
    sendClaim(node, placed->second);
    return std::nullopt;
}

World::Failure World::act(const ExpectAdmission &step)
{
    auto *slot = findSlot(step.at);
    if (slot == nullptr || !slot->node) {
        return fmt::format("\"{}\" does not run", step.at.value());
    }
    const auto &spread = slot->node->spread;
    const bool withdrawn = spread.withdrawn().contains(KeyId(step.key));
    const bool admitted = spread.isFresh(m_now) && !withdrawn;
    if (admitted == step.admitted) {
        return std::nullopt;
    }
    return fmt::format("{} {} key \"{}\" (fresh: {}, withdrawn: {})", step.at.value(),
                       admitted ? "admits" : "refuses", step.key, spread.isFresh(m_now), withdrawn);
}

World::Failure World::act(const ExpectRunning &step)
{
    const auto running = totalRunning(step.workspace);
    if (running >= step.least && running <= step.most) {
        return std::nullopt;
    }
    return fmt::format("{} runs {}, expected {} to {}", step.workspace, running, step.least,
                       step.most);
}

World::Failure World::act(const ExpectInForce &step)
{
    const auto newest = m_store.get(configuration::headKey)->revision;
    for (const auto *slot : slotsOf(step.place)) {
        if (slot->node && slot->node->inForce != newest) {
            return fmt::format("{} has revision {} in force, the newest is {}",
                               slot->address.entry.value(), slot->node->inForce, newest);
        }
    }
    return std::nullopt;
}

World::Failure World::act(const ExpectLimitInForce &step)
{
    const auto ledger = ledgerOf(step.workspace);
    const auto limit = m_limits.at(step.workspace);
    if (ledger.limit == limit && ledger.inForce()) {
        return std::nullopt;
    }
    return fmt::format("the ledger of {} has the limit {} with {} units out, expected {}",
                       step.workspace, ledger.limit, ledger.out(), limit);
}

World::Failure World::act(const ExpectRuns &step)
{
    const auto runs = m_runs[m_keys[step.key]];
    if (runs >= step.least && runs <= step.most) {
        return std::nullopt;
    }
    return fmt::format("\"{}\" ran {} times, expected {} to {}", step.key, runs, step.least,
                       step.most);
}

// --- Clock ---

void World::tick()
{
    m_now += tickTime;
    ++m_ticks;
    for (auto &envelope : m_network.arrivals(m_now)) {
        deliver(std::move(envelope));
    }
    if (m_oldStore) {
        m_lastOldAnswer = m_now;
    }
    const bool storeIsWell = !m_oldStore && !m_storeFaults.down
                             && m_storeFaults.loseAnswersPercent == 0
                             && m_storeFaults.delay == Duration::zero();
    m_lastStoreFault = storeIsWell ? m_lastStoreFault : m_now;
    m_hosts.tick(m_now);
    answerStoreCalls();
    for (auto &[entry, slot] : m_slots) {
        if (slot.node && !slot.node->paused) {
            tickNode(*slot.node);
        }
        if (slot.node && slot.node->leaving && slot.node->quota.hasLeft()) {
            m_hosts.drop(entry, slot.node->incarnation);
            slot.node.reset();
        }
    }
    std::erase_if(m_orphans, [this](const Orphan &orphan) { return orphan.end <= m_now; });
}

void World::tickNode(EntryNode &node)
{
    setPeers(node);
    work(node);
    tickQuota(node);
    tickSpread(node);
    tickAttempts(node);
    tickFleet(node);
}

void World::tickQuota(EntryNode &node)
{
    quota::FleetLimits limits;
    limits.revision = m_limitRevision;
    limits.dataCentres = static_cast<unsigned>(m_scenario.dataCentres.size());
    for (const auto &[workspace, units] : m_limits) {
        limits.units[workspace] = units;
    }
    node.quota.setFleet(std::move(limits));
    constexpr std::size_t ticksPerRead = 4;
    if (m_ticks % ticksPerRead == 0) {
        readQuota(node);
    }
    auto actions = node.quota.tick(m_now, m_random);
    for (auto &outgoing : actions.messages) {
        send(node, outgoing.to.entry, std::move(outgoing.message));
    }
    for (const auto &write : actions.writes) {
        writeQuota(node, write);
    }
}

void World::tickSpread(EntryNode &node)
{
    if (m_now.time_since_epoch() % configuration::tickInterval == Duration::zero()) {
        perform(node, node.spread.tick(m_now, m_random));
    }
}

void World::tickAttempts(EntryNode &node)
{
    for (const auto &peer : node.roster.unacknowledged()) {
        if (m_ticks % 4 == 0) {
            send(node, peer,
                 dispatch::OutcomeMessage(dispatch::RosterHello{node.roster.handshake()}));
        }
    }
    for (auto &[name, attempt] : node.attempts) {
        if (attempt.workEnds && *attempt.workEnds <= m_now) {
            attempt.workEnds.reset();
            attempt.report = dispatch::OutcomeReport{
                    attempt.claim.scope, attempt.claim.key, name, dispatch::Outcome::Completed, {}};
        }
        if (attempt.workEnds || m_now < attempt.nextSend) {
            continue;
        }
        attempt.nextSend = m_now + resendInterval;
        if (!attempt.report) {
            sendClaim(node, attempt);
        } else if (attempt.owner == node.address.entry) {
            node.ledger.report(*attempt.report, wallTime(m_now));
        } else if (attempt.owner) {
            send(node, *attempt.owner, dispatch::OutcomeMessage(*attempt.report));
        }
    }
    std::erase_if(node.attempts, [this](const auto &item) {
        const auto &attempt = item.second;
        return !attempt.workEnds && m_now > attempt.givenUpAt + longestWork + reportGrace;
    });
}

// Ends work whose time has come and starts what the demand asks for.
void World::work(EntryNode &node)
{
    for (const auto &[workspace, wanted] : node.demand) {
        const auto resource = limitResource(workspace);
        auto &running = node.running[workspace];
        while (!running.empty() && *running.begin() <= m_now) {
            running.erase(running.begin());
            node.quota.node().release(resource);
        }
        const auto target = node.leaving ? 0 : wanted;
        while (running.size() < target && node.quota.node().tryAcquire(resource)) {
            const auto most = toMilliseconds(longestWork - shortestWork).count();
            const auto extra = std::chrono::milliseconds(
                    uniformBelow(m_random, static_cast<std::uint32_t>(most)));
            running.insert(m_now + shortestWork + extra);
        }
    }
}

// Membership as an entry sees it: who answers is live; who is silent stays in the roster.
void World::setPeers(EntryNode &node)
{
    std::vector<quota::QuotaPeer> live;
    std::vector<membership::PeerAddress> addresses;
    std::set<EntryId> roster;
    for (const auto &[entry, slot] : m_slots) {
        if (entry == node.address.entry) {
            continue;
        }
        const auto &here = node.address.dataCentre;
        const auto &there = slot.address.dataCentre;
        if (there == here) {
            roster.insert(entry);
        }
        const bool answers = slot.node && !slot.node->paused
                             && m_network.carries(here.value(), there.value())
                             && m_network.carries(there.value(), here.value());
        addresses.push_back(slot.address);
        if (answers && !slot.node->leaving) {
            live.push_back({{entry, slot.node->incarnation}, there});
        }
    }
    node.quota.setLive(std::move(live));
    node.spread.setPeers(addresses);
    node.roster.setPeers(roster, wallTime(m_now));
}

// --- Messages ---

void World::deliver(Envelope envelope)
{
    auto *slot = findSlot(envelope.to);
    if (slot == nullptr || !slot->node) {
        return;
    }
    if (slot->node->paused) {
        // The socket's buffer keeps it until the process goes on.
        envelope.due = m_now + tickTime;
        return m_network.keep(std::move(envelope));
    }
    receive(*slot->node, envelope);
}

void World::receive(EntryNode &node, const Envelope &envelope)
{
    if (const auto *message = std::get_if<quota::QuotaMessage>(&envelope.body)) {
        node.quota.receive({envelope.from, envelope.incarnation}, *message, m_now);
    } else if (const auto *config = std::get_if<configuration::ConfigMessage>(&envelope.body)) {
        perform(node,
                node.spread.receive(envelope.from, envelope.incarnation, *config, m_now, m_random));
    } else if (std::holds_alternative<maintenance::MaintenanceMessage>(envelope.body)) {
        receiveMaintenance(node, envelope);
    } else {
        receiveOutcome(node, envelope);
    }
}

void World::receiveOutcome(EntryNode &node, const Envelope &envelope)
{
    const auto &message = std::get<dispatch::OutcomeMessage>(envelope.body);
    if (const auto *claim = std::get_if<dispatch::OutcomeClaim>(&message)) {
        send(node, envelope.from,
             dispatch::OutcomeMessage(node.ledger.claim(*claim, node.roster, wallTime(m_now))));
    } else if (const auto *answer = std::get_if<dispatch::ClaimAnswer>(&message)) {
        const auto found = node.attempts.find(answer->attempt);
        if (found != node.attempts.end()) {
            found->second.owner = envelope.from;
            endClaim(node, found->second, answer->verdict);
        }
    } else if (const auto *report = std::get_if<dispatch::OutcomeReport>(&message)) {
        node.ledger.report(*report, wallTime(m_now));
        send(node, envelope.from,
             dispatch::OutcomeMessage(dispatch::ReportReceipt{report->attempt}));
    } else if (const auto *receipt = std::get_if<dispatch::ReportReceipt>(&message)) {
        node.attempts.erase(receipt->attempt);
    } else if (const auto *hello = std::get_if<dispatch::RosterHello>(&message)) {
        node.roster.addPeer(envelope.from, wallTime(m_now));
        send(node, envelope.from,
             dispatch::OutcomeMessage(dispatch::RosterAcknowledgement{hello->handshake}));
    } else if (const auto *known = std::get_if<dispatch::RosterAcknowledgement>(&message)) {
        node.roster.acknowledged(envelope.from, known->handshake, wallTime(m_now));
    }
}

void World::perform(EntryNode &node, const configuration::SpreadActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *message = std::get_if<configuration::SendMessage>(&action)) {
            send(node, message->to, message->message);
        } else if (const auto *publish = std::get_if<configuration::PublishFleet>(&action)) {
            checkPublished(node, publish->revision);
            node.inForce = publish->revision;
            perform(node, node.spread.putInForce(publish->revision));
        } else if (const auto *read = std::get_if<configuration::ReadStore>(&action)) {
            readConfiguration(node, read->after);
        } else if (const auto *ids = std::get_if<configuration::StoreWithdrawn>(&action)) {
            storeWithdrawn(node, ids->ids);
        }
    }
}

// A revision never falls at an entry; nor does a new life begin below what a peer that answers has.
void World::checkPublished(const EntryNode &node, store::StoreRevision revision)
{
    const auto &name = node.address.entry.value();
    if (revision < node.inForce) {
        m_broken = fmt::format("{} went from revision {} back to {}", name, node.inForce, revision);
    }
    const bool linksAreSettled = m_now >= m_lastLinkChange + std::chrono::seconds(2);
    if (node.inForce > 0 || !linksAreSettled || !m_network.losesNothing()) {
        return;
    }
    const auto &here = node.address.dataCentre.value();
    for (const auto &[entry, slot] : m_slots) {
        const auto &there = slot.address.dataCentre.value();
        const bool answers = slot.node && !slot.node->paused && m_network.carries(here, there)
                             && m_network.carries(there, here);
        if (answers && slot.node->inForce > revision) {
            m_broken = fmt::format("{} starts with revision {}, {} has {} in force", name, revision,
                                   entry.value(), slot.node->inForce);
        }
    }
}

void World::send(const EntryNode &node, const EntryId &to, Body body)
{
    const auto *slot = findSlot(to);
    if (slot == nullptr) {
        return;
    }
    m_network.send({node.address.entry,
                    node.address.dataCentre,
                    node.incarnation,
                    to,
                    slot->address.dataCentre,
                    std::move(body),
                    {}},
                   m_now, m_random);
}

std::optional<EntryId> World::ownerOf(const EntryNode &node, const Attempt &attempt) const
{
    if (attempt.home == node.address.dataCentre) {
        return dispatch::ownerOf(attempt.claim.key, node.roster.entries());
    }
    std::set<EntryId> entries;
    for (const auto &[entry, slot] : m_slots) {
        if (slot.address.dataCentre == attempt.home) {
            entries.insert(entry);
        }
    }
    return dispatch::ownerOf(attempt.claim.key, entries);
}

void World::sendClaim(EntryNode &node, Attempt &attempt)
{
    if (m_now >= attempt.givenUpAt) {
        // The claim may have been granted; its owner hears that it is not used.
        attempt.report = dispatch::OutcomeReport{attempt.claim.scope,
                                                 attempt.claim.key,
                                                 attempt.claim.attempt,
                                                 dispatch::Outcome::NotRun,
                                                 {}};
        attempt.owner = ownerOf(node, attempt);
        return;
    }
    const auto owner = ownerOf(node, attempt);
    if (!owner) {
        return;
    }
    if (*owner != node.address.entry) {
        return send(node, *owner, dispatch::OutcomeMessage(attempt.claim));
    }
    const auto answer = node.ledger.claim(attempt.claim, node.roster, wallTime(m_now));
    attempt.owner = owner;
    endClaim(node, attempt, answer.verdict);
}

void World::endClaim(EntryNode &, Attempt &attempt, dispatch::ClaimVerdict verdict)
{
    const bool pending = !attempt.workEnds && !attempt.report && m_now < attempt.givenUpAt;
    if (!pending || verdict == dispatch::ClaimVerdict::NotOwner) {
        return;
    }
    if (verdict != dispatch::ClaimVerdict::Granted) {
        // The caller has its answer; nothing runs.
        attempt.givenUpAt = m_now - longestWork - reportGrace;
        attempt.report.reset();
        attempt.nextSend = TimePoint::max();
        return;
    }
    ++m_runs[attempt.claim.key];
    attempt.workEnds = m_now + attempt.work;
}

// --- Store ---

bool World::storeReachable(const EntryNode &node) const
{
    return !m_storeFaults.down
           && m_network.carries(node.address.dataCentre.value(), VirtualNetwork::platformPlace);
}

void World::callStore(const EntryNode &node, std::function<bool()> apply,
                      std::function<void(EntryNode &, bool)> answer)
{
    m_storeCalls.push_back({node.address.entry, node.incarnation,
                            m_now + tickTime + m_storeFaults.delay, std::move(answer),
                            std::move(apply)});
}

void World::answerStoreCalls()
{
    auto calls = std::exchange(m_storeCalls, {});
    for (auto &call : calls) {
        auto *slot = findSlot(call.from);
        auto *node = slot->node && slot->node->incarnation == call.incarnation ? slot->node.get()
                                                                               : nullptr;
        if (call.due > m_now || (node != nullptr && node->paused)) {
            m_storeCalls.push_back(std::move(call));
            continue;
        }
        if (node == nullptr) {
            // The call of a dead process may still take effect.
            if (call.apply && !m_storeFaults.down) {
                call.apply();
            }
            continue;
        }
        const bool reached = storeReachable(*node);
        if (reached && call.apply) {
            call.apply();
        }
        const bool lost =
                call.apply && uniformBelow(m_random, 100) < m_storeFaults.loseAnswersPercent;
        call.answer(*node, reached && !lost);
    }
}

store::StoreListing World::storeChanges(const std::string &prefix, store::StoreRevision after) const
{
    const auto &store = m_oldStore ? *m_oldStore : m_store;
    return store.changes(prefix, after);
}

void World::writeQuota(EntryNode &node, const store::StoreWrite &write)
{
    auto revision = std::make_shared<std::optional<store::StoreRevision>>();
    callStore(
            node,
            [this, write, revision] {
                *revision = m_store.write(write);
                return true;
            },
            [this, write, revision](EntryNode &writer, bool answered) {
                const auto result = !answered   ? quota::WriteResult::Unknown
                                    : *revision ? quota::WriteResult::Done
                                                : quota::WriteResult::NotDone;
                writer.quota.takeWriteResult(write, result, revision->value_or(0), m_now, m_random);
            });
}

void World::readQuota(EntryNode &node)
{
    callStore(node, nullptr, [this](EntryNode &reader, bool answered) {
        if (!answered) {
            return;
        }
        for (const auto &item : storeChanges(quota::quotaPrefix, 0).items) {
            reader.quota.takeItem(item, m_now);
        }
        reader.quota.setListed();
    });
}

void World::readConfiguration(EntryNode &node, store::StoreRevision after)
{
    const auto sentAt = m_now;
    callStore(node, nullptr, [this, after, sentAt](EntryNode &reader, bool answered) {
        perform(reader, answered ? reader.spread.takeListing(
                                storeChanges(configuration::configPrefix, after), sentAt, m_now)
                                 : reader.spread.failRead(m_now, m_random));
    });
}

void World::storeWithdrawn(EntryNode &node, const std::vector<KeyId> &ids)
{
    callStore(
            node,
            [this, ids] {
                for (const auto &id : ids) {
                    const std::string key = configuration::withdrawnPrefix + id.value();
                    m_store.write({key, id.value() + "\n", 0, ""});
                    auto &withdrawal = m_withdrawals[id.value()];
                    withdrawal.durableAt = withdrawal.durableAt.value_or(m_now);
                }
                return true;
            },
            [ids](EntryNode &writer, bool answered) {
                if (answered) {
                    writer.spread.noteDurable(ids);
                }
            });
}

// --- Processes ---

void World::start(Slot &slot)
{
    if (slot.node) {
        return;
    }
    slot.node = std::make_unique<EntryNode>(slot.address, m_nextIncarnation++, longestWork, m_now);
    slot.node->demand = slot.demand;
}

void World::kill(Slot &slot)
{
    for (const auto &[workspace, ends] : slot.node->running) {
        for (const auto end : ends) {
            m_orphans.push_back({workspace, end});
        }
    }
    m_hosts.drop(slot.node->address.entry, slot.node->incarnation);
    slot.node.reset();
}

std::vector<World::Slot *> World::slotsOf(const std::string &place)
{
    constexpr std::string_view leaderOf = "leader of ";
    if (place.starts_with(leaderOf)) {
        const auto lease = m_leases.find(place.substr(leaderOf.size()));
        auto *leader = lease == m_leases.end() ? nullptr : findSlot(lease->second.holder);
        return leader == nullptr ? std::vector<Slot *>() : std::vector{leader};
    }
    std::vector<Slot *> slots;
    for (auto &[entry, slot] : m_slots) {
        const bool matches =
                place.empty() || entry.value() == place || slot.address.dataCentre.value() == place;
        if (matches) {
            slots.push_back(&slot);
        }
    }
    return slots;
}

World::Slot *World::findSlot(const EntryId &entry)
{
    const auto found = m_slots.find(entry);
    return found == m_slots.end() ? nullptr : &found->second;
}

// --- Invariants ---

unsigned World::totalRunning(const std::string &workspace) const
{
    unsigned total = 0;
    for (const auto &[entry, slot] : m_slots) {
        if (slot.node) {
            const auto found = slot.node->running.find(workspace);
            total += found == slot.node->running.end()
                             ? 0
                             : static_cast<unsigned>(found->second.size());
        }
    }
    for (const auto &orphan : m_orphans) {
        total += orphan.workspace == workspace ? 1 : 0;
    }
    return total;
}

quota::QuotaLedger World::ledgerOf(const std::string &workspace) const
{
    const auto item = m_store.get(quota::ledgerPrefix + workspace);
    const auto ledger = item ? quota::ledgerFromJson(item->value) : std::nullopt;
    return ledger.value_or(quota::QuotaLedger{});
}

World::Failure World::checkInvariants()
{
    if (m_broken) {
        return m_broken;
    }
    if (auto failure = checkLimits()) {
        return failure;
    }
    if (auto failure = checkWithdrawals()) {
        return failure;
    }
    if (auto failure = checkWaves()) {
        return failure;
    }
    return checkRuns();
}

// Never more running than the ledger has out, which is at most the limit: or an earlier one only
// until the ledger says that the lower limit is in force.
World::Failure World::checkLimits()
{
    for (const auto &[workspace, limit] : m_limits) {
        const auto running = totalRunning(workspace);
        const auto ledger = ledgerOf(workspace);
        const bool inForce = ledger.limit == limit && ledger.inForce();
        auto &allowed = m_allowed[workspace];
        allowed = inForce ? limit : std::max<std::uint64_t>(allowed, limit);
        if (ledger.out() > allowed) {
            return fmt::format("{} has {} units out, more than any limit not yet replaced ({})",
                               workspace, ledger.out(), allowed);
        }
        if (running > ledger.out()) {
            return fmt::format("{} runs {} with {} units out and a limit of {}", workspace, running,
                               ledger.out(), limit);
        }
    }
    return std::nullopt;
}

// Whether another running entry that has the withdrawal exchanges messages with this one.
bool World::hearsOf(const Slot &slot, const KeyId &key) const
{
    const auto &here = slot.address.dataCentre.value();
    for (const auto &[entry, other] : m_slots) {
        const auto &there = other.address.dataCentre.value();
        const bool informed = &other != &slot && other.node && !other.node->paused
                              && other.node->spread.withdrawn().contains(key);
        if (informed && m_network.carries(here, there) && m_network.carries(there, here)) {
            return true;
        }
    }
    return false;
}

// A durable withdrawal is in force within the bound wherever keyed work is taken. While the store
// answers with an old state, and until what it said then is out of date, that holds where a peer
// that knows of it was heard for as long.
World::Failure World::checkWithdrawals()
{
    for (auto &[key, withdrawal] : m_withdrawals) {
        if (!withdrawal.durableAt || m_now < *withdrawal.durableAt + withdrawalBound) {
            continue;
        }
        const KeyId id(key);
        for (const auto &[entry, slot] : m_slots) {
            const bool admits = slot.node && !slot.node->paused && slot.node->spread.isFresh(m_now)
                                && !slot.node->spread.withdrawn().contains(id);
            if (!admits) {
                withdrawal.heardSince.erase(entry);
                continue;
            }
            auto &heardSince = withdrawal.heardSince.try_emplace(entry, m_now).first->second;
            if (!hearsOf(slot, id)) {
                heardSince = m_now;
            }
            const bool excused = m_now < m_lastOldAnswer + withdrawalBound
                                 && m_now < heardSince + withdrawalBound;
            if (!excused) {
                return fmt::format("{} still admits key \"{}\", withdrawn {:.2f} s ago",
                                   entry.value(), key, toSeconds(m_now - *withdrawal.durableAt));
            }
        }
    }
    return std::nullopt;
}

World::Failure World::checkRuns() const
{
    for (const auto &[key, runs] : m_runs) {
        if (runs > 1) {
            return fmt::format("the request with key \"{}\" ran {} times", key, runs);
        }
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::scenarios
