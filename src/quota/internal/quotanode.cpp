// Decides which units move between entries.
#include "quota/quotanode.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::quota {

namespace {

constexpr Duration resendInterval = std::chrono::milliseconds(200);
constexpr Duration firstAskDelay = std::chrono::milliseconds(50);
constexpr Duration maxAskDelay = std::chrono::milliseconds(500);
constexpr unsigned minAsk = 4;
// An unmet promise is dropped; the asker asks again.
constexpr Duration promiseLifetime = std::chrono::milliseconds(1500);
// Units unused for one to two of these go back to the steward.
constexpr Duration surplusInterval = std::chrono::milliseconds(250);

std::uint64_t rank(const QuotaResource &resource, const QuotaHolder &holder)
{
    const auto text = resource.name + '/' + holder.entry.value();
    return XXH64(text.data(), text.size(), static_cast<XXH64_hash_t>(resource.kind));
}

} // namespace

QuotaNode::QuotaNode(QuotaHolder self, DataCentreId dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{}

bool QuotaNode::tryAcquire(const QuotaResource &resource)
{
    auto &holding = m_holdings[resource];
    if (holding.running >= usable(holding)) {
        ++holding.refused;
        holding.wanted = true;
        return false;
    }
    ++holding.running;
    holding.peak = std::max(holding.peak, holding.running);
    return true;
}

bool QuotaNode::release(const QuotaResource &resource)
{
    auto &holding = m_holdings[resource];
    if (holding.running > 0) {
        --holding.running;
    }
    return takeWant(holding);
}

QuotaUse QuotaNode::use(const QuotaResource &resource) const
{
    const auto found = m_holdings.find(resource);
    if (found == m_holdings.end()) {
        return {};
    }
    return {found->second.held, found->second.running, found->second.refused};
}

unsigned QuotaNode::unmetDemand(const QuotaResource &resource) const
{
    const auto found = m_holdings.find(resource);
    if (found == m_holdings.end()) {
        return 0;
    }
    const auto recent = found->second.refused - found->second.refusedAtTick;
    auto units = std::max(static_cast<unsigned>(recent), found->second.wanted ? 1U : 0U);
    for (const auto &promise : found->second.promises) {
        units += promise.units;
    }
    return units;
}

bool QuotaNode::deposit(const QuotaResource &resource, unsigned units)
{
    auto &holding = m_holdings[resource];
    holding.held += units;
    return takeWant(holding);
}

bool QuotaNode::setHeld(const QuotaResource &resource, unsigned units)
{
    auto &holding = m_holdings[resource];
    holding.held = units;
    return takeWant(holding);
}

unsigned QuotaNode::withdraw(const QuotaResource &resource, unsigned units)
{
    auto &holding = m_holdings[resource];
    const auto taken = std::min(units, idle(holding));
    holding.held -= taken;
    return taken;
}

void QuotaNode::setLowering(const QuotaResource &resource, std::uint64_t limit, std::uint64_t out)
{
    auto &holding = m_holdings[resource];
    holding.limit = limit;
    holding.out = out;
}

unsigned QuotaNode::excess(const QuotaResource &resource) const
{
    const auto found = m_holdings.find(resource);
    if (found == m_holdings.end()) {
        return 0;
    }
    return std::min(idle(found->second), found->second.held - part(found->second));
}

void QuotaNode::setPeers(std::vector<QuotaPeer> peers)
{
    m_peers = std::move(peers);
    ++m_peersGeneration;
    std::erase_if(m_peers, [this](const QuotaPeer &peer) {
        return peer.holder == m_self || m_closed.contains(peer.holder);
    });
}

std::vector<QuotaOutgoing> QuotaNode::tick(TimePoint now, Random &random)
{
    Outbox outbox;
    forwardAsks(outbox);
    for (auto &[resource, holding] : m_holdings) {
        if (resource.kind != QuotaKind::WorkspaceLimit) {
            continue;
        }
        resend(holding, resource, now, outbox);
        keepPromises(holding, resource, now, outbox);
        askForUnits(holding, resource, now, random, outbox);
        returnSurplus(holding, resource, now, outbox);
        holding.refusedAtTick = holding.refused;
    }
    std::vector<QuotaOutgoing> outgoing;
    for (auto &[holder, message] : outbox) {
        message.toIncarnation = holder.incarnation;
        outgoing.push_back({holder, std::move(message)});
    }
    return outgoing;
}

std::vector<QuotaResource> QuotaNode::receive(const QuotaHolder &from, const QuotaMessage &message,
                                              TimePoint now)
{
    std::vector<QuotaResource> available;
    if (message.toIncarnation != m_self.incarnation || m_closed.contains(from)) {
        return available;
    }
    for (const auto &transfer : message.transfers) {
        auto &holding = m_holdings[transfer.resource];
        auto &channel = holding.channels[from];
        channel.acknowledgementDue = true;
        if (transfer.total <= channel.received) {
            continue;
        }
        holding.held += static_cast<unsigned>(transfer.total - channel.received);
        channel.received = transfer.total;
        holding.nextSurplus = std::max(holding.nextSurplus, now + surplusInterval);
        holding.askDelay = {};
        holding.nextAsk = now;
        if (takeWant(holding)) {
            available.push_back(transfer.resource);
        }
    }
    for (const auto &acknowledgement : message.acknowledgements) {
        auto &channel = m_holdings[acknowledgement.resource].channels[from];
        channel.acknowledged =
                std::max(channel.acknowledged, std::min(acknowledgement.total, channel.sent));
    }
    for (const auto &ask : message.asks) {
        answerAsk(ask, now);
    }
    return available;
}

QuotaFold QuotaNode::close(const QuotaHolder &holder)
{
    m_closed.insert(holder);
    ++m_peersGeneration;
    std::erase_if(m_peers, [&holder](const QuotaPeer &peer) { return peer.holder == holder; });
    QuotaFold fold;
    for (auto &[resource, holding] : m_holdings) {
        std::erase_if(holding.promises,
                      [&holder](const Promise &promise) { return promise.to == holder; });
        const auto channel = holding.channels.find(holder);
        if (channel == holding.channels.end()) {
            continue;
        }
        const auto net = static_cast<std::int64_t>(channel->second.received)
                         - static_cast<std::int64_t>(channel->second.sent);
        if (net != 0) {
            fold[resource] = net;
        }
    }
    return fold;
}

void QuotaNode::setLeaving()
{
    m_leaving = true;
    ++m_peersGeneration;
}

std::uint64_t QuotaNode::heldInTotal() const
{
    std::uint64_t total = 0;
    for (const auto &[resource, holding] : m_holdings) {
        total += resource.kind == QuotaKind::WorkspaceLimit ? holding.held : 0;
    }
    return total;
}

std::uint64_t QuotaNode::inTransit() const
{
    std::uint64_t total = 0;
    for (const auto &[resource, holding] : m_holdings) {
        for (const auto &[holder, channel] : holding.channels) {
            total += m_closed.contains(holder) ? 0 : channel.sent - channel.acknowledged;
        }
    }
    return total;
}

std::vector<QuotaResource> QuotaNode::resources() const
{
    std::vector<QuotaResource> resources;
    for (const auto &[resource, holding] : m_holdings) {
        resources.push_back(resource);
    }
    return resources;
}

std::optional<QuotaHolder> QuotaNode::steward(const QuotaResource &resource,
                                              const DataCentreId &dataCentre) const
{
    std::optional<QuotaHolder> best;
    std::uint64_t bestRank = 0;
    const auto consider = [&](const QuotaHolder &holder) {
        const auto candidate = rank(resource, holder);
        if (!best || candidate > bestRank) {
            best = holder;
            bestRank = candidate;
        }
    };
    if (dataCentre == m_dataCentre && !m_leaving) {
        consider(m_self);
    }
    for (const auto &peer : m_peers) {
        if (peer.dataCentre == dataCentre) {
            consider(peer.holder);
        }
    }
    return best;
}

bool QuotaNode::isSteward(const QuotaResource &resource)
{
    return localSteward(m_holdings[resource], resource) == m_self;
}

const std::optional<QuotaHolder> &QuotaNode::localSteward(Holding &holding,
                                                          const QuotaResource &resource) const
{
    if (holding.stewardGeneration != m_peersGeneration) {
        holding.steward = steward(resource, m_dataCentre);
        holding.stewardGeneration = m_peersGeneration;
    }
    return holding.steward;
}

unsigned QuotaNode::reserved(const Holding &holding)
{
    unsigned units = 0;
    for (const auto &promise : holding.promises) {
        units += promise.reserved;
    }
    return units;
}

unsigned QuotaNode::part(const Holding &holding)
{
    if (holding.out <= holding.limit) {
        return holding.held;
    }
    return static_cast<unsigned>(holding.held * holding.limit / holding.out);
}

unsigned QuotaNode::usable(const Holding &holding) const
{
    const auto units = part(holding);
    const auto promised = reserved(holding);
    return m_revoked || units < promised ? 0 : units - promised;
}

unsigned QuotaNode::idle(const Holding &holding)
{
    return holding.held > holding.running ? holding.held - holding.running : 0;
}

bool QuotaNode::takeWant(Holding &holding) const
{
    if (!holding.wanted || holding.running >= usable(holding)) {
        return false;
    }
    holding.wanted = false;
    return true;
}

bool QuotaNode::tradable(const QuotaHolder &holder) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&holder](const QuotaPeer &peer) { return peer.holder == holder; });
}

void QuotaNode::give(Holding &holding, const QuotaResource &resource, const QuotaHolder &to,
                     unsigned units, TimePoint now, Outbox &outbox)
{
    const auto given = std::min(units, idle(holding));
    if (given == 0 || m_revoked || !tradable(to)) {
        return;
    }
    auto &channel = holding.channels[to];
    holding.held -= given;
    channel.sent += given;
    channel.nextResend = now + resendInterval;
    outbox[to].transfers.push_back({resource, channel.sent});
}

// What the asker is owed although everything here is in use. Small differences are left alone, so
// that units in transit do not cost more than fairness is worth.
unsigned QuotaNode::fairPart(const Holding &holding, const QuotaAsk &ask)
{
    const auto promised = reserved(holding);
    const auto tolerance = std::max(holding.held / 4, 1U);
    if (ask.forwarded || holding.held <= ask.held + promised + tolerance) {
        return 0;
    }
    return std::max((holding.held - ask.held - promised) / 3, 1U);
}

void QuotaNode::answerAsk(const QuotaAsk &ask, TimePoint now)
{
    if (!tradable(ask.asker) || ask.need == 0) {
        return;
    }
    auto &holding = m_holdings[ask.resource];
    std::erase_if(holding.promises,
                  [&ask](const Promise &promise) { return promise.to == ask.asker; });
    const auto free = idle(holding);
    const auto units = std::min(ask.need, fairPart(holding, ask));
    holding.promises.push_back({ask.asker, ask.need, units, now + promiseLifetime});
    if (free < ask.need && !ask.forwarded && isSteward(ask.resource)) {
        auto forward = ask;
        forward.need = ask.need - free;
        forward.forwarded = true;
        m_forwards.push_back(std::move(forward));
    }
}

void QuotaNode::keepPromises(Holding &holding, const QuotaResource &resource, TimePoint now,
                             Outbox &outbox)
{
    for (auto &promise : holding.promises) {
        // Units that are idle for a moment only stay with an entry that lacks some itself.
        const auto owed = holding.wanted ? promise.reserved : promise.units;
        const auto units = std::min(owed, idle(holding));
        give(holding, resource, promise.to, units, now, outbox);
        promise.units -= units;
        promise.reserved -= std::min(promise.reserved, units);
    }
    std::erase_if(holding.promises, [now](const Promise &promise) {
        return promise.units == 0 || promise.expiry <= now;
    });
}

void QuotaNode::resend(Holding &holding, const QuotaResource &resource, TimePoint now,
                       Outbox &outbox)
{
    for (auto &[holder, channel] : holding.channels) {
        if (m_closed.contains(holder)) {
            continue;
        }
        if (channel.acknowledgementDue) {
            channel.acknowledgementDue = false;
            outbox[holder].acknowledgements.push_back({resource, channel.received});
        }
        if (channel.sent > channel.acknowledged && channel.nextResend <= now) {
            channel.nextResend = now + resendInterval;
            outbox[holder].transfers.push_back({resource, channel.sent});
        }
    }
}

void QuotaNode::askForUnits(Holding &holding, const QuotaResource &resource, TimePoint now,
                            Random &random, Outbox &outbox)
{
    const auto refused = static_cast<std::uint32_t>(holding.refused - holding.refusedAtTick);
    if (m_leaving || m_revoked || m_peers.empty() || !holding.wanted || holding.nextAsk > now
        || holding.running < holding.held) {
        return;
    }
    // Doubling reaches any demand in a few rounds; what turns out unused goes back as surplus.
    const auto need = std::max({refused, holding.held, minAsk});
    const QuotaAsk ask{resource, m_self, need, holding.held, false};
    const auto &local = localSteward(holding, resource);
    if (local && *local != m_self) {
        outbox[*local].asks.push_back(ask);
    } else {
        auto forward = ask;
        forward.forwarded = true;
        m_forwards.push_back(std::move(forward));
    }
    const auto &other = m_peers[uniformBelow(random, static_cast<std::uint32_t>(m_peers.size()))];
    if (!local || other.holder != *local) {
        outbox[other.holder].asks.push_back(ask);
    }
    holding.askDelay = std::clamp(holding.askDelay * 2, firstAskDelay, maxAskDelay);
    holding.nextAsk = now + holding.askDelay;
}

void QuotaNode::returnSurplus(Holding &holding, const QuotaResource &resource, TimePoint now,
                              Outbox &outbox)
{
    if (m_leaving) {
        const auto &heir = localSteward(holding, resource);
        if (heir || !m_peers.empty()) {
            give(holding, resource, heir ? *heir : m_peers.front().holder, idle(holding), now,
                 outbox);
        }
        return;
    }
    if (holding.nextSurplus > now) {
        return;
    }
    const auto needed = std::max({holding.peak, holding.lastPeak, holding.running});
    holding.lastPeak = std::exchange(holding.peak, holding.running);
    holding.nextSurplus = now + surplusInterval;
    const auto &local = localSteward(holding, resource);
    if (holding.held > needed && !holding.wanted && local && *local != m_self) {
        give(holding, resource, *local, holding.held - needed, now, outbox);
    }
}

void QuotaNode::forwardAsks(Outbox &outbox)
{
    std::set<DataCentreId> dataCentres;
    for (const auto &peer : m_peers) {
        dataCentres.insert(peer.dataCentre);
    }
    for (const auto &ask : m_forwards) {
        for (const auto &dataCentre : dataCentres) {
            const auto to =
                    dataCentre == m_dataCentre ? std::nullopt : steward(ask.resource, dataCentre);
            if (to && *to != ask.asker) {
                outbox[*to].asks.push_back(ask);
            }
        }
    }
    m_forwards.clear();
}

} // namespace cyclamenlatch::quota
