// Claims the owner's key, renews its lease and revokes it.
#include "control/ownership.h"

#include "control/clock.h"
#include "control/internal/callafter.h"
#include "control/records.h"
#include "control/storekeys.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::control {

namespace {

// Short, so that another entry takes over soon: 2000 ms delays take-over. Renewals do not wait for
// each other, so that every other one may take as long as the answer of a slow store, 400 ms.
constexpr std::chrono::milliseconds leaseTimeToLive{1300};
constexpr std::chrono::milliseconds renewInterval{300};
// Interval of renewals while they fail. They do not wait for earlier ones, because a renewal that
// is sent while the store is unavailable is never answered.
constexpr std::chrono::milliseconds renewRetryInterval{150};
constexpr std::chrono::milliseconds claimRetryInterval{300};
constexpr std::chrono::milliseconds ownerWatchWait{2000};
// The owner stops acting this long before its lease can expire, because calls take time to arrive.
constexpr std::chrono::milliseconds safetyMargin{100};
// After losing the ownership an entry leaves it to other entries for this long.
constexpr std::chrono::milliseconds claimPauseAfterLoss{1000};
constexpr unsigned maxRevokeAttempts = 20;

std::string entryNameOf(const std::string &claim)
{
    return claim.substr(0, claim.rfind('#'));
}

} // namespace

Ownership::Ownership(asio::io_context &context, PlatformStoreClient &store, std::string name,
                     std::chrono::milliseconds claimDelay, Listener listener)
    : m_context(context)
    , m_store(store)
    , m_name(std::move(name))
    , m_claimDelay(claimDelay)
    , m_listener(std::move(listener))
    , m_timer(context)
    , m_ownerWatcher(context, store, std::string(ownerKey), ownerWatchWait,
                     [this](const auto &items, auto, bool isSnapshot) {
                         applyOwnerItems(items, isSnapshot);
                     })
{}

Ownership::~Ownership() = default;

void Ownership::start()
{
    m_ownerWatcher.start();
    tickAfter(renewInterval);
}

void Ownership::stop()
{
    m_isStopped = true;
    if (m_stage == Stage::Holding) {
        resign("this entry is shutting down");
    }
}

void Ownership::storeRecovered()
{
    m_ownerWatcher.restartWatch();
}

bool Ownership::isHeld() const
{
    return m_stage == Stage::Holding && m_lease.isHeld(bootNow() + safetyMargin);
}

std::function<bool()> Ownership::makeOwnershipCheck(std::weak_ptr<bool> alive) const
{
    return [this, alive = std::move(alive)] { return !alive.expired() && isHeld(); };
}

void Ownership::applyOwnerItems(const std::vector<platform::StoreItem> &items, bool isSnapshot)
{
    if (isSnapshot) {
        m_ownerName.clear();
    }
    m_isOwnerKnown = true;
    for (const auto &item : items) {
        if (item.key != ownerKey) {
            continue;
        }
        m_ownerName = item.deleted ? std::string{} : entryNameOf(item.value);
        if (m_stage == Stage::Holding && item.revision > m_tenure.revision) {
            resign(item.deleted ? "the owner's lease has expired" : "another entry has taken over");
        }
    }
    if (!m_ownerName.empty()) {
        m_noOwnerSince.reset();
        return;
    }
    m_noOwnerSince = m_noOwnerSince.value_or(bootNow());
    claim();
}

// Claims the ownership at once after the store has reported that this entry's lease does not exist.
// If the store expired all leases during an outage, other entries may not have noticed yet; if one
// has become the owner, the claim fails with a conflict on the owner's key.
void Ownership::reclaim()
{
    m_ownerName.clear();
    m_noOwnerSince = bootNow() - m_claimDelay;
    m_nextClaimAt = bootNow();
    claim();
}

void Ownership::claim()
{
    if (m_stage != Stage::Watching || m_isStopped || !m_isOwnerKnown || !m_ownerName.empty()
        || bootNow() < m_nextClaimAt || !m_noOwnerSince
        || bootNow() < *m_noOwnerSince + m_claimDelay) {
        return;
    }
    m_stage = Stage::Claiming;
    const auto sentAt = bootNow();
    m_store.grantLease(leaseTimeToLive,
                       [this, sentAt, alive = std::weak_ptr(m_alive)](const auto &reply) {
                           if (alive.expired()) {
                               return;
                           }
                           if (reply.outcome != platform::StoreOutcome::Done || reply.lease == 0) {
                               return abandonClaim(0);
                           }
                           claimWithLease(reply.lease, leaseTimeToLive, sentAt);
                       });
}

void Ownership::claimWithLease(platform::LeaseId lease, Duration duration, TimePoint sentAt)
{
    m_store.get(std::string(termKey),
                [this, lease, duration, sentAt, alive = std::weak_ptr(m_alive)](const auto &reply) {
                    if (alive.expired()) {
                        return;
                    }
                    if (reply.outcome != platform::StoreOutcome::Done
                        && reply.outcome != platform::StoreOutcome::NotFound) {
                        return abandonClaim(lease);
                    }
                    writeClaim(lease, reply, duration, sentAt);
                });
}

void Ownership::writeClaim(platform::LeaseId lease, const platform::StoreReply &term,
                           Duration duration, TimePoint sentAt)
{
    const bool isFirst = term.outcome == platform::StoreOutcome::NotFound || term.items.empty();
    const auto last = isFirst ? TermRecord{} : decodeTerm(term.items.front().value);
    const TermRecord next{last.lastToken + tokensPerTenure, last.term + 1};
    const Tenure tenure{next.term, last.lastToken + 1};
    m_claim = fmt::format("{}#{}-{}", m_name, ++m_claimCount, sentAt.time_since_epoch().count());
    platform::StoreTransaction transaction;
    transaction.expected = {{std::string(ownerKey), 0},
                            {std::string(termKey), isFirst ? 0 : term.items.front().revision}};
    transaction.writes = {{std::string(ownerKey), m_claim, lease},
                          {std::string(termKey), encodeTerm(next), 0}};
    m_store.transaction(transaction, [this, lease, tenure, duration, sentAt,
                                      alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (!alive.expired()) {
            handleClaimReply(lease, tenure, duration, sentAt, reply);
        }
    });
}

void Ownership::handleClaimReply(platform::LeaseId lease, Tenure tenure, Duration duration,
                                 TimePoint sentAt, const platform::StoreReply &reply)
{
    if (reply.outcome == platform::StoreOutcome::Done) {
        tenure.revision = reply.revision;
        return becomeOwner(lease, tenure, duration, sentAt);
    }
    if (reply.outcome != platform::StoreOutcome::OutcomeUnknown) {
        return abandonClaim(lease);
    }
    // The claim may have taken effect: its value in the owner's key shows it.
    m_store.get(std::string(ownerKey), [this, lease, tenure, duration, sentAt,
                                        alive = std::weak_ptr(m_alive)](const auto &found) mutable {
        if (alive.expired()) {
            return;
        }
        const bool isOurs = found.outcome == platform::StoreOutcome::Done && !found.items.empty()
                            && found.items.front().value == m_claim;
        if (isOurs) {
            tenure.revision = found.items.front().revision;
            return becomeOwner(lease, tenure, duration, sentAt);
        }
        abandonClaim(lease);
    });
}

void Ownership::becomeOwner(platform::LeaseId lease, const Tenure &tenure, Duration duration,
                            TimePoint sentAt)
{
    m_leaseId = lease;
    m_lease = store::HeldLease(std::to_string(lease), duration, sentAt);
    m_tenure = tenure;
    m_ownerName = m_name;
    m_noOwnerSince.reset();
    m_stage = Stage::Holding;
    m_isRenewalFailing = false;
    m_isSuspended = false;
    if (m_isStopped) {
        return resign("this entry is shutting down");
    }
    if (!isHeld()) {
        return resign("the lease expired before the claim was confirmed");
    }
    tickAfter(renewInterval);
    m_listener.gained(m_tenure);
}

void Ownership::abandonClaim(platform::LeaseId lease)
{
    m_stage = Stage::Watching;
    m_nextClaimAt = bootNow() + claimRetryInterval;
    if (lease != 0) {
        revokeLease(lease, 0);
    }
}

void Ownership::resign(const std::string &reason)
{
    if (m_stage != Stage::Holding) {
        return;
    }
    m_stage = Stage::Watching;
    m_lease.lapsed();
    m_nextClaimAt = bootNow() + claimPauseAfterLoss;
    const auto lease = std::exchange(m_leaseId, 0);
    m_listener.lost(reason);
    revokeLease(lease, 0);
}

// Revoking the lease removes the owner's key, so that other entries need not wait until the lease
// expires.
void Ownership::revokeLease(platform::LeaseId lease, unsigned tries)
{
    m_store.revokeLease(
            lease, [this, lease, tries, alive = std::weak_ptr(m_alive)](const auto &reply) {
                const bool isEnded = reply.outcome == platform::StoreOutcome::Done
                                     || reply.outcome == platform::StoreOutcome::NotFound;
                if (alive.expired() || isEnded || tries >= maxRevokeAttempts) {
                    return;
                }
                detail::callAfter(m_context, claimRetryInterval, m_alive,
                                  [this, lease, tries] { revokeLease(lease, tries + 1); });
            });
}

void Ownership::renew()
{
    m_store.renewLease(m_leaseId, [this, sentAt = bootNow(), lease = m_leaseId,
                                   alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (!alive.expired()) {
            handleRenewalReply(lease, sentAt, reply);
        }
    });
}

void Ownership::handleRenewalReply(platform::LeaseId lease, TimePoint sentAt,
                                   const platform::StoreReply &reply)
{
    if (m_stage != Stage::Holding || lease != m_leaseId) {
        return;
    }
    if (reply.outcome == platform::StoreOutcome::NotFound) {
        resign("the owner's lease has expired");
        return reclaim();
    }
    if (reply.outcome != platform::StoreOutcome::Done) {
        if (!std::exchange(m_isRenewalFailing, true)) {
            tickAfter(renewRetryInterval);
        }
        return;
    }
    m_lease.renewed(sentAt);
    if (isHeld() && std::exchange(m_isRenewalFailing, false)) {
        m_listener.resumed(std::exchange(m_isSuspended, false));
    }
}

void Ownership::tick()
{
    if (m_stage != Stage::Holding) {
        claim();
        return tickAfter(claimRetryInterval);
    }
    if (!isHeld()) {
        m_isRenewalFailing = true;
        if (!std::exchange(m_isSuspended, true)) {
            m_listener.suspended();
        }
    }
    renew();
    tickAfter(m_isRenewalFailing ? renewRetryInterval : renewInterval);
}

void Ownership::tickAfter(std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](const auto &error) {
        if (!error && !alive.expired()) {
            tick();
        }
    });
}

} // namespace cyclamenlatch::control
