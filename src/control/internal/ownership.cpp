// Claims, renews and gives back the owner's key.
#include "control/ownership.h"

#include "control/clock.h"
#include "control/internal/callafter.h"
#include "control/storekeys.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace cyclamenlatch::control {

namespace {

// Short, so that another entry takes over soon: 2000 was measured worse (decisions.md). Renewals do
// not wait for each other, so that one in two may take as long as a slow store's answers, 400 ms.
constexpr std::chrono::milliseconds timeToLive{1300};
constexpr std::chrono::milliseconds renewInterval{300};
// While the store does not answer, renewals are sent this often whether or not the one before was
// answered: one that is sent while the store is silent never is.
constexpr std::chrono::milliseconds renewRetry{150};
constexpr std::chrono::milliseconds claimRetry{300};
constexpr std::chrono::milliseconds ownerWatch{2000};
// Stops this long before the lease can end, for what is on its way.
constexpr std::chrono::milliseconds safetyMargin{100};
// A claim that another entry may make first is left to it for this long after losing the ownership.
constexpr std::chrono::milliseconds pauseAfterLoss{1000};
constexpr unsigned maxRevokeAttempts = 20;

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string nameOf(const std::string &claim)
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
    , m_ownerWatcher(context, store, std::string(ownerKey), ownerWatch,
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
        resign("this entry stops");
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
        m_ownerName = item.deleted ? std::string{} : nameOf(item.value);
        if (m_stage == Stage::Holding && item.revision > m_tenure.revision) {
            resign(item.deleted ? "the lease has ended" : "another entry has taken over");
        }
    }
    if (!m_ownerName.empty()) {
        m_noOwnerSince.reset();
        return;
    }
    m_noOwnerSince = m_noOwnerSince.value_or(bootNow());
    claim();
}

// The store has said that this entry's key is gone. Where it ended all leases while it was silent,
// nobody else may have noticed; where somebody has, the claim meets the new key.
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
    m_store.grantLease(timeToLive,
                       [this, sentAt, alive = std::weak_ptr(m_alive)](const auto &reply) {
                           if (alive.expired()) {
                               return;
                           }
                           if (reply.outcome != platform::StoreOutcome::Done || reply.lease == 0) {
                               return abandonClaim(0);
                           }
                           claimWithLease(reply.lease, timeToLive, sentAt);
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
    const std::uint64_t next = isFirst ? 1 : numberOf(term.items.front().value) + 1;
    m_claim = fmt::format("{}#{}-{}", m_name, ++m_claims, sentAt.time_since_epoch().count());
    platform::StoreTransaction transaction;
    transaction.expected = {{std::string(ownerKey), 0},
                            {std::string(termKey), isFirst ? 0 : term.items.front().revision}};
    transaction.writes = {{std::string(ownerKey), m_claim, lease},
                          {std::string(termKey), std::to_string(next), 0}};
    m_store.transaction(transaction, [this, lease, next, duration, sentAt,
                                      alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (!alive.expired()) {
            handleClaimReply(lease, next, duration, sentAt, reply);
        }
    });
}

void Ownership::handleClaimReply(platform::LeaseId lease, std::uint64_t term, Duration duration,
                                 TimePoint sentAt, const platform::StoreReply &reply)
{
    if (reply.outcome == platform::StoreOutcome::Done) {
        return becomeOwner(lease, Tenure{term, reply.revision}, duration, sentAt);
    }
    if (reply.outcome != platform::StoreOutcome::OutcomeUnknown) {
        return abandonClaim(lease);
    }
    // The claim may stand: the key tells.
    m_store.get(std::string(ownerKey), [this, lease, term, duration, sentAt,
                                        alive = std::weak_ptr(m_alive)](const auto &found) {
        if (alive.expired()) {
            return;
        }
        const bool isOurs = found.outcome == platform::StoreOutcome::Done && !found.items.empty()
                            && found.items.front().value == m_claim;
        if (isOurs) {
            return becomeOwner(lease, Tenure{term, found.items.front().revision}, duration, sentAt);
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
        return resign("this entry stops");
    }
    if (!isHeld()) {
        return resign("the claim took too long");
    }
    tickAfter(renewInterval);
    m_listener.gained(m_tenure);
}

void Ownership::abandonClaim(platform::LeaseId lease)
{
    m_stage = Stage::Watching;
    m_nextClaimAt = bootNow() + claimRetry;
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
    m_nextClaimAt = bootNow() + pauseAfterLoss;
    const auto lease = std::exchange(m_leaseId, 0);
    m_listener.lost(reason);
    revokeLease(lease, 0);
}

// The key goes with the lease, so that others need not wait for it to run out.
void Ownership::revokeLease(platform::LeaseId lease, unsigned tries)
{
    m_store.revokeLease(
            lease, [this, lease, tries, alive = std::weak_ptr(m_alive)](const auto &reply) {
                const bool isEnded = reply.outcome == platform::StoreOutcome::Done
                                     || reply.outcome == platform::StoreOutcome::NotFound;
                if (alive.expired() || isEnded || tries >= maxRevokeAttempts) {
                    return;
                }
                detail::callAfter(m_context, claimRetry, m_alive,
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
        resign("the lease has ended");
        return reclaim();
    }
    if (reply.outcome != platform::StoreOutcome::Done) {
        if (!std::exchange(m_isRenewalFailing, true)) {
            tickAfter(renewRetry);
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
        return tickAfter(claimRetry);
    }
    if (!isHeld()) {
        m_isRenewalFailing = true;
        if (!std::exchange(m_isSuspended, true)) {
            m_listener.suspended();
        }
    }
    renew();
    tickAfter(m_isRenewalFailing ? renewRetry : renewInterval);
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
