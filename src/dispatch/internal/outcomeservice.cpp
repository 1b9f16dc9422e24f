// Sends claims and reports to the owners of keys, and answers those of other entries.
#include "dispatch/outcomeservice.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::dispatch {

namespace {

std::string scopeOf(const ClaimRequest &request)
{
    return fmt::format("{}/{}/{}", request.workspace.value(), request.queue.value(),
                       request.key.text);
}

bool isFinal(ClaimVerdict verdict)
{
    return verdict != ClaimVerdict::NotOwner;
}

} // namespace

OutcomeService::OutcomeService(asio::io_context &context, membership::PeerBus &bus,
                               OutcomeServiceSettings settings)
    : m_context(context)
    , m_bus(bus)
    , m_settings(settings)
    , m_startedAt(steadyNow())
    , m_startedAtWall(wallNow())
    , m_ledger(settings.ledger)
    , m_roster(bus.self().entry, bus.incarnation())
    , m_timer(context)
{
    m_bus.subscribe(membership::PeerTopic::Outcome,
                    [this](const membership::PeerMessage &message) { receive(message); });
}

void OutcomeService::start()
{
    tick();
}

void OutcomeService::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_timer.cancel();
}

// Returns a wall-clock time that never goes back while the process runs.
WallTime OutcomeService::monotonicWallTime() const
{
    return m_startedAtWall + toMilliseconds(steadyNow() - m_startedAt);
}

void OutcomeService::claim(const ClaimRequest &request, ClaimCompletion completion)
{
    Work work;
    {
        const std::lock_guard lock(m_mutex);
        PendingClaim pending;
        pending.claim.scope = scopeOf(request);
        pending.claim.key = request.key.text;
        pending.claim.attempt = fmt::format("{}-{:x}-{}", m_bus.self().entry.value(),
                                            m_bus.incarnation(), m_nextAttempt++);
        pending.claim.fingerprint = request.fingerprint;
        pending.claim.timeoutMilliseconds = static_cast<std::uint32_t>(request.timeout.count());
        pending.home = request.key.home;
        pending.completion = std::move(completion);
        pending.expiresAt =
                steadyNow() + std::min<Duration>(m_settings.claimTimeout, request.timeout / 2);
        const auto attempt = pending.claim.attempt;
        const auto placed = m_pendingClaims.emplace(attempt, std::move(pending)).first;
        sendClaim(placed->second, work);
    }
    perform(std::move(work));
}

std::optional<EntryId> OutcomeService::ownerOfClaim(const PendingClaim &pending) const
{
    if (pending.home == m_bus.self().dataCentre) {
        return ownerOf(pending.claim.key, m_roster.entries());
    }
    const auto found = m_rosters.find(pending.home);
    return found == m_rosters.end() ? std::nullopt : ownerOf(pending.claim.key, found->second);
}

void OutcomeService::sendClaim(const PendingClaim &pending, Work &work)
{
    const auto owner = ownerOfClaim(pending);
    if (!owner) {
        return;
    }
    if (*owner != m_bus.self().entry) {
        work.messages.push_back({*owner, pending.claim});
        return;
    }
    const auto now = monotonicWallTime();
    m_roster.observeTime(now);
    auto answer = m_ledger.claim(pending.claim, m_roster, now);
    if (isFinal(answer.verdict)) {
        endClaim(answer.attempt, *owner, answer.verdict, std::move(answer.answer), work);
    }
}

void OutcomeService::endClaim(const std::string &attempt, const EntryId &owner,
                              std::optional<ClaimVerdict> verdict, StoredAnswer answer, Work &work)
{
    auto node = m_pendingClaims.extract(attempt);
    if (node.empty()) {
        return;
    }
    auto &pending = node.mapped();
    work.ended.push_back({std::move(pending.completion), verdict,
                          ClaimTicket{pending.claim.scope, pending.claim.key, attempt, owner},
                          std::move(answer)});
}

void OutcomeService::report(const ClaimTicket &ticket, const DispatchAnswer &answer)
{
    Work work;
    {
        const std::lock_guard lock(m_mutex);
        OutcomeReport report{ticket.scope, ticket.key, ticket.attempt, answer.outcome, {}};
        if (answer.outcome == Outcome::Completed) {
            report.answer.status = answer.status;
            report.answer.isBodyStored = answer.body.size() <= m_settings.maxStoredBodyBytes;
            report.answer.contentType = answer.contentType;
            report.answer.body = report.answer.isBodyStored ? answer.body : std::string();
        }
        if (ticket.owner == m_bus.self().entry) {
            m_ledger.report(report, monotonicWallTime());
            return;
        }
        m_pendingReports[ticket.attempt] = {report, ticket.owner,
                                            steadyNow() + m_settings.reportTimeout};
        work.messages.push_back({ticket.owner, std::move(report)});
    }
    perform(std::move(work));
}

void OutcomeService::receive(const membership::PeerMessage &message)
{
    const auto decoded = membership::decode<OutcomeMessage>(message.body);
    if (!decoded) {
        return;
    }
    Work work;
    {
        const std::lock_guard lock(m_mutex);
        std::visit([&](const auto &content) { handle(message, content, work); }, *decoded);
    }
    perform(std::move(work));
}

void OutcomeService::handle(const membership::PeerMessage &from, const OutcomeClaim &claim,
                            Work &work)
{
    const auto now = monotonicWallTime();
    m_roster.observeTime(now);
    work.messages.push_back({from.from, m_ledger.claim(claim, m_roster, now)});
}

void OutcomeService::handle(const membership::PeerMessage &from, const ClaimAnswer &answer,
                            Work &work)
{
    if (isFinal(answer.verdict)) {
        endClaim(answer.attempt, from.from, answer.verdict, answer.answer, work);
    }
}

void OutcomeService::handle(const membership::PeerMessage &from, const OutcomeReport &report,
                            Work &work)
{
    m_ledger.report(report, monotonicWallTime());
    work.messages.push_back({from.from, ReportReceipt{report.attempt}});
}

void OutcomeService::handle(const membership::PeerMessage &, const ReportReceipt &receipt, Work &)
{
    m_pendingReports.erase(receipt.attempt);
}

void OutcomeService::handle(const membership::PeerMessage &from, const RosterHello &hello,
                            Work &work)
{
    if (from.dataCentre != m_bus.self().dataCentre) {
        return;
    }
    m_roster.addPeer(from.from, monotonicWallTime());
    work.messages.push_back({from.from, RosterAcknowledgement{hello.handshake}});
}

void OutcomeService::handle(const membership::PeerMessage &from,
                            const RosterAcknowledgement &acknowledgement, Work &)
{
    const auto now = monotonicWallTime();
    m_roster.observeTime(now);
    m_roster.acknowledged(from.from, acknowledgement.handshake, now);
}

void OutcomeService::scheduleTick()
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
        return;
    }
    m_timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            m_settings.resendInterval));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void OutcomeService::tick()
{
    Work work;
    {
        const std::lock_guard lock(m_mutex);
        refreshRosters();
        for (const auto &peer : m_roster.unacknowledged()) {
            work.messages.push_back({peer, RosterHello{m_roster.handshake()}});
        }
        const auto now = steadyNow();
        std::vector<std::string> attempts;
        for (const auto &[attempt, pending] : m_pendingClaims) {
            attempts.push_back(attempt);
        }
        for (const auto &attempt : attempts) {
            const auto &pending = m_pendingClaims.at(attempt);
            if (pending.expiresAt <= now) {
                const auto owner = ownerOfClaim(pending).value_or(EntryId());
                endClaim(attempt, owner, std::nullopt, {}, work);
            } else {
                sendClaim(pending, work);
            }
        }
        std::erase_if(m_pendingReports,
                      [now](const auto &item) { return item.second.expiresAt <= now; });
        for (const auto &[attempt, pending] : m_pendingReports) {
            work.messages.push_back({pending.owner, pending.report});
        }
    }
    perform(std::move(work));
    scheduleTick();
}

void OutcomeService::refreshRosters()
{
    const auto now = monotonicWallTime();
    m_roster.observeTime(now);
    m_rosters.clear();
    for (const auto &peer : m_bus.peers()) {
        m_rosters[peer.dataCentre].insert(peer.entry);
    }
    m_roster.setPeers(m_rosters[m_bus.self().dataCentre], now);
    m_roster.forgetBefore(now - 2 * m_settings.ledger.keyRetention);
}

void OutcomeService::perform(Work work)
{
    for (const auto &outgoing : work.messages) {
        m_bus.sendValue(outgoing.to, membership::PeerTopic::Outcome, outgoing.message);
    }
    for (auto &ended : work.ended) {
        if (!ended.verdict && !ended.ticket.owner.empty()) {
            // The owner may have granted the claim although its answer did not arrive; the report
            // frees the key, since the request will not run.
            DispatchAnswer notRun;
            notRun.outcome = Outcome::NotRun;
            report(ended.ticket, notRun);
        }
        ended.completion(ended.verdict, std::move(ended.ticket), std::move(ended.answer));
    }
}

} // namespace cyclamenlatch::dispatch
