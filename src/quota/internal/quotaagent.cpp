// Plans the writes that keep the store's records and this entry's holdings in step.
#include "quota/quotaagent.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cyclamenlatch::quota {

namespace {

constexpr Duration planInterval = std::chrono::milliseconds(100);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
constexpr Duration maxRetryDelay = std::chrono::seconds(3);
constexpr std::size_t maxWritesInFlight = 8;

QuotaResource resourceOf(const std::string &workspace)
{
    return {QuotaKind::WorkspaceLimit, workspace};
}

std::string ledgerKey(const std::string &workspace)
{
    return ledgerPrefix + workspace;
}

bool isAbout(const GoneSubject &subject, const QuotaHolder &holder,
             const RegisteredHolder &registered)
{
    const auto *entry = std::get_if<EntryId>(&subject);
    return entry != nullptr ? holder.entry == *entry
                            : registered.dataCentre == std::get<DataCentreId>(subject);
}

std::optional<std::string> workspaceOf(const std::string &key)
{
    const std::string prefix = ledgerPrefix;
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

} // namespace

QuotaAgent::QuotaAgent(QuotaAgentSettings settings)
    : m_settings(std::move(settings))
    , m_node(m_settings.self, m_settings.dataCentre)
{}

void QuotaAgent::setFleet(FleetLimits limits)
{
    if (limits.revision < m_fleet.revision) {
        return;
    }
    m_fleet = std::move(limits);
}

void QuotaAgent::setLive(std::vector<QuotaPeer> peers)
{
    m_live = std::move(peers);
    updatePeers();
}

QuotaActions QuotaAgent::tick(TimePoint now, Random &random)
{
    QuotaActions actions;
    if (m_listed && now >= m_nextPlan) {
        m_nextPlan = now + planInterval;
        resendPending(now, actions);
        planRegistry(now, actions);
        planLedgers(now, actions);
    }
    if (registered()) {
        actions.messages = m_node.tick(now, random);
    }
    return actions;
}

void QuotaAgent::receive(const QuotaHolder &from, const QuotaMessage &message, TimePoint now)
{
    // An unregistered holder must not get units: nobody would wait for its word when settling.
    if (!registered()) {
        return;
    }
    const auto available = m_node.receive(from, message, now);
    m_available.insert(m_available.end(), available.begin(), available.end());
}

void QuotaAgent::takeItem(const store::StoreItem &item, TimePoint now)
{
    const auto pending = m_pending.find(item.key);
    if (item.key == registryKey) {
        if (item.revision > m_registryRevision) {
            auto registry = registryFromJson(item.value);
            if (registry) {
                m_registry = std::move(*registry);
                m_registryRevision = item.revision;
                applyRegistry(now);
            }
        }
        if (pending != m_pending.end() && !pending->second.inFlight) {
            m_pending.erase(pending);
        }
        return;
    }
    const auto workspace = workspaceOf(item.key);
    if (!workspace) {
        return;
    }
    auto &view = m_ledgers[*workspace];
    if (item.revision > view.revision) {
        auto ledger = ledgerFromJson(item.value);
        if (!ledger) {
            return;
        }
        view = {std::move(*ledger), item.revision};
        applyLedger(*workspace);
    }
    if (pending != m_pending.end() && !pending->second.inFlight) {
        const auto account = view.ledger.accounts.find(m_settings.self);
        const bool tookEffect = pending->second.operation > 0
                                && account != view.ledger.accounts.end()
                                && account->second.operation >= pending->second.operation;
        // A newer revision without the operation means that the write can never take effect.
        if (tookEffect || view.revision > pending->second.write.expected) {
            resolve(item.key, tookEffect);
        }
    }
}

void QuotaAgent::takeWriteResult(const store::StoreWrite &write, WriteResult result,
                                 store::StoreRevision revision, TimePoint now, Random &random)
{
    const auto pending = m_pending.find(write.key);
    if (pending == m_pending.end() || pending->second.write.value != write.value) {
        return;
    }
    pending->second.inFlight = false;
    if (result == WriteResult::Done) {
        m_retries.erase(write.key);
        store::StoreItem item;
        item.key = write.key;
        item.value = write.value;
        item.revision = revision;
        takeItem(item, now);
        return;
    }
    auto &retry = m_retries[write.key];
    retry.delay = std::clamp(retry.delay * 2, firstRetryDelay, maxRetryDelay);
    retry.next = now
                 + Duration(static_cast<std::int64_t>(uniformReal(random)
                                                      * static_cast<double>(retry.delay.count())));
    pending->second.unsure = pending->second.unsure || result == WriteResult::Unknown;
    if (!pending->second.unsure) {
        resolve(write.key, false);
    }
}

std::vector<QuotaResource> QuotaAgent::takeAvailable()
{
    return std::exchange(m_available, {});
}

void QuotaAgent::leave()
{
    m_leaving = true;
    m_node.setLeaving();
}

bool QuotaAgent::unitsReturned() const
{
    return m_leaving && m_node.heldInTotal() == 0 && m_node.inTransit() == 0 && m_pending.empty();
}

bool QuotaAgent::hasLeft() const
{
    const auto self = m_registry.holders.find(m_settings.self);
    return m_leaving && (self == m_registry.holders.end() || self->second.gone);
}

Result<GoneNote> QuotaAgent::takeOperatorsWord(const GoneSubject &subject)
{
    GoneNote note;
    std::vector<QuotaHolder> toMark;
    for (const auto &[holder, registered] : m_registry.holders) {
        if (!isAbout(subject, holder, registered)) {
            continue;
        }
        ++note.holders;
        if (registered.gone) {
            continue;
        }
        if (!isSilent(holder)) {
            return failure(ErrorKind::Conflict, fmt::format("{} is alive", holder.entry.value()),
                           "stop its process first: it then returns its units by itself");
        }
        toMark.push_back(holder);
    }
    if (note.holders == 0) {
        return failure(ErrorKind::NotFound, "no registered entry has this name",
                       "look at \"entry list\"; what is not listed locks no units");
    }
    for (const auto &holder : toMark) {
        m_reports[holder] = GoneProof::OperatorsWord;
    }
    note.recorded = toMark.empty();
    return note;
}

bool QuotaAgent::wantsHostList() const
{
    if (!registered() || !isLeader()) {
        return false;
    }
    return std::any_of(m_registry.holders.begin(), m_registry.holders.end(),
                       [this](const auto &item) {
                           return item.second.host.isKnown() && isSilent(item.first);
                       });
}

void QuotaAgent::takeHostList(const std::vector<store::HostStatus> &hosts)
{
    for (const auto &[holder, registered] : m_registry.holders) {
        const auto &known = registered.host;
        if (!known.isKnown() || !isSilent(holder)) {
            continue;
        }
        const bool replaced =
                std::any_of(hosts.begin(), hosts.end(), [&known](const store::HostStatus &host) {
                    return host.worker.value() == known.name
                           && host.replacements > known.replacements;
                });
        if (replaced) {
            m_reports.try_emplace(holder, GoneProof::HostReplaced);
        }
    }
}

bool QuotaAgent::isSilent(const QuotaHolder &holder) const
{
    const bool live = std::any_of(m_live.begin(), m_live.end(),
                                  [&](const QuotaPeer &peer) { return peer.holder == holder; });
    return m_registry.isActive(holder) && holder != m_settings.self && !live;
}

bool QuotaAgent::registered() const
{
    return m_registry.isActive(m_settings.self);
}

std::vector<std::string> QuotaAgent::limitNames() const
{
    std::set<std::string> names;
    for (const auto &[workspace, units] : m_fleet.units) {
        names.insert(workspace);
    }
    for (const auto &[workspace, view] : m_ledgers) {
        if (view.ledger.out() > 0) {
            names.insert(workspace);
        }
    }
    return {names.begin(), names.end()};
}

std::optional<LimitState> QuotaAgent::limitState(const std::string &workspace) const
{
    const auto found = m_ledgers.find(workspace);
    if (found == m_ledgers.end()) {
        return std::nullopt;
    }
    LimitState state;
    state.limit = found->second.ledger.limit;
    const auto wanted = m_fleet.units.find(workspace);
    state.wanted = wanted == m_fleet.units.end() ? 0U : wanted->second;
    state.out = found->second.ledger.out();
    for (const auto &[holder, account] : found->second.ledger.accounts) {
        if (!m_registry.isActive(holder) && account.units > 0) {
            state.locked += static_cast<std::uint64_t>(account.units);
        }
    }
    return state;
}

void QuotaAgent::planRegistry(TimePoint now, QuotaActions &actions)
{
    if (!mayWrite(registryKey, now)) {
        return;
    }
    auto registry = m_registry;
    bool changed = false;
    if (!registry.holders.contains(m_settings.self) && !m_node.revoked() && !m_leaving) {
        registry.enter(m_settings.self, m_settings.dataCentre, m_settings.address, m_settings.host);
        changed = true;
    }
    for (const auto &[holder, proof] : m_reports) {
        changed = registry.markGone(holder, proof) || changed;
    }
    if (registered()) {
        for (const auto &gone : registry.unfoldedBy(m_settings.self)) {
            registry.holders[gone].folds[m_settings.self] = m_node.close(gone);
            changed = true;
        }
    }
    if (!changed && registered() && unitsReturned()) {
        changed = registry.markGone(m_settings.self, GoneProof::Left);
    }
    if (!changed && settlementDue(now) && !planSettlement(now, actions)) {
        for (const auto &gone : m_registry.gone()) {
            registry.holders.erase(gone);
            changed = true;
        }
    }
    if (changed) {
        write(registryKey, toJson(registry), m_registryRevision, actions, {});
    }
}

bool QuotaAgent::settlementDue(TimePoint now) const
{
    const auto gone = m_registry.gone();
    if (gone.empty() || !isLeader() || !registered() || !m_registry.canSettle()) {
        return false;
    }
    return std::all_of(gone.begin(), gone.end(), [&](const QuotaHolder &holder) {
        const auto since = m_goneSince.find(holder);
        const bool left = m_registry.holders.at(holder).gone == GoneProof::Left;
        return left
               || (since != m_goneSince.end() && now - since->second >= m_settings.longestWork);
    });
}

// Returns whether any ledger still has to be settled.
bool QuotaAgent::planSettlement(TimePoint now, QuotaActions &actions)
{
    bool unsettled = false;
    for (const auto &item : m_ledgers) {
        const auto &workspace = item.first;
        const auto &view = item.second;
        const auto folds = m_registry.foldsOf(resourceOf(workspace));
        const bool due = std::any_of(folds.begin(), folds.end(), [&view](const auto &fold) {
            return !view.ledger.settled.contains(fold.first)
                   && (!fold.second.empty() || view.ledger.accounts.contains(fold.first));
        });
        if (!due) {
            continue;
        }
        unsettled = true;
        if (mayWrite(ledgerKey(workspace), now)) {
            auto ledger = view.ledger;
            ledger.settle(folds);
            write(ledgerKey(workspace), toJson(ledger), view.revision, actions, {});
        }
    }
    return unsettled;
}

void QuotaAgent::planLedgers(TimePoint now, QuotaActions &actions)
{
    if (!registered()) {
        return;
    }
    for (const auto &[workspace, units] : m_fleet.units) {
        planLedger(workspace, now, actions);
    }
    for (const auto &[workspace, view] : m_ledgers) {
        if (!m_fleet.units.contains(workspace)) {
            planLedger(workspace, now, actions);
        }
    }
}

void QuotaAgent::planLedger(const std::string &workspace, TimePoint now, QuotaActions &actions)
{
    const auto key = ledgerKey(workspace);
    if (!mayWrite(key, now)) {
        return;
    }
    const auto known = m_ledgers.find(workspace);
    const auto view = known == m_ledgers.end() ? LedgerView{} : known->second;
    const auto wanted = m_fleet.units.find(workspace);
    const auto units = wanted == m_fleet.units.end() ? 0U : wanted->second;
    if (view.ledger.limit != units && view.ledger.fleetRevision < m_fleet.revision) {
        if (isLeader()) {
            auto ledger = view.ledger;
            ledger.setLimit(units, m_fleet.revision);
            write(key, toJson(ledger), view.revision, actions, {});
        }
        return;
    }
    const auto resource = resourceOf(workspace);
    if (m_leaving) {
        if (!m_node.hasPeers() && m_node.use(resource).held > 0) {
            planHandBack(workspace, view, m_node.use(resource).held, actions);
        }
        return;
    }
    if (!view.ledger.inForce()) {
        planHandBack(workspace, view, m_node.excess(resource), actions);
    } else if (view.ledger.free() > 0 && m_node.isSteward(resource)) {
        planDraw(workspace, view, actions);
    }
}

void QuotaAgent::planDraw(const std::string &workspace, const LedgerView &view,
                          QuotaActions &actions)
{
    const auto dataCentres = std::max(m_fleet.dataCentres, 1U);
    const auto share = (view.ledger.limit + dataCentres - 1) / dataCentres;
    const auto here = drawnHere(view.ledger);
    const auto demand = m_node.unmetDemand(resourceOf(workspace));
    if (here >= share && demand == 0) {
        return;
    }
    // Beyond the data centre's share in few large steps: a draw costs a write, a trade nothing.
    const auto units = here < share ? share - here : std::max(std::uint64_t{demand}, share / 2);
    PendingWrite pending;
    auto ledger = view.ledger;
    pending.drawn = ledger.draw(m_settings.self, units);
    pending.operation = ledger.accounts[m_settings.self].operation;
    if (pending.drawn > 0) {
        write(ledgerKey(workspace), toJson(ledger), view.revision, actions, pending);
    }
}

void QuotaAgent::planHandBack(const std::string &workspace, const LedgerView &view, unsigned units,
                              QuotaActions &actions)
{
    PendingWrite pending;
    pending.handedBack = m_node.withdraw(resourceOf(workspace), units);
    if (pending.handedBack == 0) {
        return;
    }
    auto ledger = view.ledger;
    ledger.handBack(m_settings.self, pending.handedBack);
    pending.operation = ledger.accounts[m_settings.self].operation;
    write(ledgerKey(workspace), toJson(ledger), view.revision, actions, pending);
}

// A write whose fate is open is sent again unchanged: it takes effect once at most, because a
// success changes the revision that it expects.
void QuotaAgent::resendPending(TimePoint now, QuotaActions &actions)
{
    for (auto &[key, pending] : m_pending) {
        const auto retry = m_retries.find(key);
        if (!pending.inFlight && (retry == m_retries.end() || retry->second.next <= now)) {
            pending.inFlight = true;
            actions.writes.push_back(pending.write);
        }
    }
}

bool QuotaAgent::mayWrite(const std::string &key, TimePoint now) const
{
    const auto retry = m_retries.find(key);
    return !m_pending.contains(key) && m_pending.size() < maxWritesInFlight
           && (retry == m_retries.end() || retry->second.next <= now);
}

void QuotaAgent::write(const std::string &key, std::string value, store::StoreRevision expected,
                       QuotaActions &actions, PendingWrite pending)
{
    pending.write = {key, std::move(value), expected, ""};
    pending.inFlight = true;
    actions.writes.push_back(pending.write);
    m_pending[key] = std::move(pending);
}

void QuotaAgent::resolve(const std::string &key, bool tookEffect)
{
    const auto pending = m_pending.find(key);
    const auto workspace = workspaceOf(key);
    const auto units = tookEffect ? pending->second.drawn : pending->second.handedBack;
    if (workspace && units > 0
        && m_node.deposit(resourceOf(*workspace), static_cast<unsigned>(units))) {
        m_available.push_back(resourceOf(*workspace));
    }
    m_pending.erase(pending);
}

void QuotaAgent::applyRegistry(TimePoint now)
{
    for (const auto &gone : m_registry.gone()) {
        m_goneSince.try_emplace(gone, now);
        if (gone == m_settings.self) {
            m_node.revoke();
        } else {
            m_node.close(gone);
        }
    }
    std::erase_if(m_reports, [this](const auto &item) { return !m_registry.isActive(item.first); });
    std::erase_if(m_goneSince,
                  [this](const auto &item) { return !m_registry.holders.contains(item.first); });
    updatePeers();
}

void QuotaAgent::applyLedger(const std::string &workspace)
{
    const auto &ledger = m_ledgers[workspace].ledger;
    m_node.setLowering(resourceOf(workspace), ledger.limit, ledger.out());
}

void QuotaAgent::updatePeers()
{
    std::vector<QuotaPeer> peers;
    std::copy_if(m_live.begin(), m_live.end(), std::back_inserter(peers),
                 [this](const QuotaPeer &peer) { return m_registry.isActive(peer.holder); });
    m_node.setPeers(std::move(peers));
}

bool QuotaAgent::isLeader() const
{
    return std::none_of(m_live.begin(), m_live.end(), [this](const QuotaPeer &peer) {
        return m_registry.isActive(peer.holder) && peer.holder < m_settings.self;
    });
}

std::uint64_t QuotaAgent::drawnHere(const QuotaLedger &ledger) const
{
    std::int64_t units = 0;
    for (const auto &[holder, account] : ledger.accounts) {
        const auto registered = m_registry.holders.find(holder);
        if (registered != m_registry.holders.end()
            && registered->second.dataCentre == m_settings.dataCentre) {
            units += account.units;
        }
    }
    return static_cast<std::uint64_t>(std::max<std::int64_t>(units, 0));
}

} // namespace cyclamenlatch::quota
