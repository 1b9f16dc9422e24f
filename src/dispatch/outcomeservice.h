// Asks the owner of an idempotency key for permission to run a request, and answers other entries
// for the keys that this entry owns. Connects OutcomeLedger and OwnerRoster to the peer bus.
// Messages may be lost, so claims and reports are sent again. Locking: m_mutex is the only lock and
// is never held while a completion runs.
#pragma once

#include "dispatch/dispatchanswer.h"
#include "dispatch/outcomeledger.h"
#include "dispatch/outcomemessage.h"
#include "dispatch/ownerroster.h"
#include "membership/peerbus.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::dispatch {

struct OutcomeServiceSettings
{
    LedgerSettings ledger;
    // Longest time to wait for the owner's answer to a claim.
    Duration claimTimeout = std::chrono::milliseconds(1000);
    Duration resendInterval = std::chrono::milliseconds(100);
    // Time for which a report without a receipt is sent again.
    Duration reportTimeout = std::chrono::seconds(20);
    // Larger bodies are not stored.
    std::size_t maxStoredBodyBytes = std::size_t{16} * 1024;
};

struct ClaimRequest
{
    IdempotencyKey key;
    WorkspaceId workspace;
    QueueId queue;
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds timeout{0};
};

// Identifies a granted attempt when its outcome is reported.
struct ClaimTicket
{
    std::string scope;
    std::string key;
    std::string attempt;
    EntryId owner;
};

class OutcomeService
{
public:
    // Without a verdict, no owner has answered and the request must not be started.
    using ClaimCompletion =
            std::function<void(std::optional<ClaimVerdict>, ClaimTicket, StoredAnswer)>;

    // Subscribes to the bus, so it must be constructed before the bus starts.
    OutcomeService(asio::io_context &context, membership::PeerBus &bus,
                   OutcomeServiceSettings settings);

    // Must be called after the bus has started.
    void start();
    void stop();
    // Thread-safe. The completion runs exactly once unless the service stops.
    void claim(const ClaimRequest &request, ClaimCompletion completion);
    // Thread-safe. Must be called for every granted claim.
    void report(const ClaimTicket &ticket, const DispatchAnswer &answer);

private:
    struct PendingClaim
    {
        OutcomeClaim claim;
        DataCentreId home;
        ClaimCompletion completion;
        TimePoint expiresAt;
    };
    struct PendingReport
    {
        OutcomeReport report;
        EntryId owner;
        TimePoint expiresAt;
    };
    struct Outgoing
    {
        EntryId to;
        OutcomeMessage message;
    };
    struct EndedClaim
    {
        ClaimCompletion completion;
        std::optional<ClaimVerdict> verdict;
        ClaimTicket ticket;
        StoredAnswer answer;
    };
    // Work to be done after m_mutex is released.
    struct Work
    {
        std::vector<Outgoing> messages;
        std::vector<EndedClaim> ended;
    };

    void receive(const membership::PeerMessage &message);
    void handle(const membership::PeerMessage &from, const OutcomeClaim &claim, Work &work);
    void handle(const membership::PeerMessage &from, const ClaimAnswer &answer, Work &work);
    void handle(const membership::PeerMessage &from, const OutcomeReport &report, Work &work);
    void handle(const membership::PeerMessage &from, const ReportReceipt &receipt, Work &work);
    void handle(const membership::PeerMessage &from, const RosterHello &hello, Work &work);
    void handle(const membership::PeerMessage &from, const RosterAcknowledgement &acknowledgement,
                Work &work);
    void scheduleTick();
    void tick();
    void refreshRosters();
    std::optional<EntryId> ownerOfClaim(const PendingClaim &pending) const;
    void sendClaim(const PendingClaim &pending, Work &work);
    void endClaim(const std::string &attempt, const EntryId &owner,
                  std::optional<ClaimVerdict> verdict, StoredAnswer answer, Work &work);
    void perform(Work work);
    WallTime monotonicWallTime() const;

    asio::io_context &m_context;
    membership::PeerBus &m_bus;
    const OutcomeServiceSettings m_settings;
    const TimePoint m_startedAt;
    const WallTime m_startedAtWall;
    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    OutcomeLedger m_ledger;
    OwnerRoster m_roster;
    std::map<DataCentreId, std::set<EntryId>> m_rosters;
    std::map<std::string, PendingClaim> m_pendingClaims;
    std::map<std::string, PendingReport> m_pendingReports;
    std::uint64_t m_nextAttempt = 1;
    bool m_stopped = false;
    asio::steady_timer m_timer;
};

} // namespace cyclamenlatch::dispatch
