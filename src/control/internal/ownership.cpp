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
constexpr unsigned mostEndTries = 20;

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

Ownership::Ownership(asio::io_context &context, StoreLink &store, std::string name,
                     std::chrono::milliseconds courtesy, Listener listener)
    : m_context(context)
    , m_store(store)
    , m_name(std::move(name))
    , m_courtesy(courtesy)
    , m_listener(std::move(listener))
    , m_timer(context)
    , m_follower(context, store, std::string(ownerKey), ownerWatch,
                 [this](const auto &items, auto, bool isWhole) { takeOwner(items, isWhole); })
{}

Ownership::~Ownership() = default;

void Ownership::start()
{
    m_follower.start();
    tickAfter(renewInterval);
}

void Ownership::stop()
{
    m_isStopped = true;
    if (m_stage == Stage::Holding) {
        resign("this entry stops");
    }
}

void Ownership::storeRegained()
{
    m_follower.watchAnew();
}

bool Ownership::isHeld() const
{
    return m_stage == Stage::Holding && m_lease.isHeld(bootNow() + safetyMargin);
}

std::function<bool()> Ownership::permission(std::weak_ptr<bool> alive) const
{
    return [this, alive = std::move(alive)] { return !alive.expired() && isHeld(); };
}

void Ownership::takeOwner(const std::vector<platform::StoreItem> &items, bool isWhole)
{
    if (isWhole) {
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
        m_freeSince.reset();
        return;
    }
    m_freeSince = m_freeSince.value_or(bootNow());
    claim();
}

// The store has said that this entry's key is gone. Where it ended all leases while it was silent,
// nobody else may have noticed; where somebody has, the claim meets the new key.
void Ownership::claimAgain()
{
    m_ownerName.clear();
    m_freeSince = bootNow() - m_courtesy;
    m_notBefore = bootNow();
    claim();
}

void Ownership::claim()
{
    if (m_stage != Stage::Watching || m_isStopped || !m_isOwnerKnown || !m_ownerName.empty()
        || bootNow() < m_notBefore || !m_freeSince || bootNow() < *m_freeSince + m_courtesy) {
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
                               return giveUpClaim(0);
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
                        && reply.outcome != platform::StoreOutcome::Missing) {
                        return giveUpClaim(lease);
                    }
                    writeClaim(lease, reply, duration, sentAt);
                });
}

void Ownership::writeClaim(platform::LeaseId lease, const platform::StoreReply &term,
                           Duration duration, TimePoint sentAt)
{
    const bool isFirst = term.outcome == platform::StoreOutcome::Missing || term.items.empty();
    const std::uint64_t next = isFirst ? 1 : numberOf(term.items.front().value) + 1;
    m_claim = fmt::format("{}#{}-{}", m_name, ++m_claims, sentAt.time_since_epoch().count());
    platform::StoreChange change;
    change.expected = {{std::string(ownerKey), 0},
                       {std::string(termKey), isFirst ? 0 : term.items.front().revision}};
    change.writes = {{std::string(ownerKey), m_claim, lease},
                     {std::string(termKey), std::to_string(next), 0}};
    m_store.change(change, [this, lease, next, duration, sentAt,
                            alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (!alive.expired()) {
            judgeClaim(lease, next, duration, sentAt, reply);
        }
    });
}

void Ownership::judgeClaim(platform::LeaseId lease, std::uint64_t term, Duration duration,
                           TimePoint sentAt, const platform::StoreReply &reply)
{
    if (reply.outcome == platform::StoreOutcome::Done) {
        return hold(lease, Tenure{term, reply.revision}, duration, sentAt);
    }
    if (reply.outcome != platform::StoreOutcome::Unclear) {
        return giveUpClaim(lease);
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
            return hold(lease, Tenure{term, found.items.front().revision}, duration, sentAt);
        }
        giveUpClaim(lease);
    });
}

void Ownership::hold(platform::LeaseId lease, const Tenure &tenure, Duration duration,
                     TimePoint sentAt)
{
    m_leaseId = lease;
    m_lease = store::HeldLease(std::to_string(lease), duration, sentAt);
    m_tenure = tenure;
    m_ownerName = m_name;
    m_freeSince.reset();
    m_stage = Stage::Holding;
    m_isRenewalFailing = false;
    m_isInDoubt = false;
    if (m_isStopped) {
        return resign("this entry stops");
    }
    if (!isHeld()) {
        return resign("the claim took too long");
    }
    tickAfter(renewInterval);
    m_listener.gained(m_tenure);
}

void Ownership::giveUpClaim(platform::LeaseId lease)
{
    m_stage = Stage::Watching;
    m_notBefore = bootNow() + claimRetry;
    if (lease != 0) {
        endLease(lease, 0);
    }
}

void Ownership::resign(const std::string &reason)
{
    if (m_stage != Stage::Holding) {
        return;
    }
    m_stage = Stage::Watching;
    m_lease.lapsed();
    m_notBefore = bootNow() + pauseAfterLoss;
    const auto lease = std::exchange(m_leaseId, 0);
    m_listener.lost(reason);
    endLease(lease, 0);
}

// The key goes with the lease, so that others need not wait for it to run out.
void Ownership::endLease(platform::LeaseId lease, unsigned tries)
{
    m_store.endLease(lease,
                     [this, lease, tries, alive = std::weak_ptr(m_alive)](const auto &reply) {
                         const bool isEnded = reply.outcome == platform::StoreOutcome::Done
                                              || reply.outcome == platform::StoreOutcome::Missing;
                         if (alive.expired() || isEnded || tries >= mostEndTries) {
                             return;
                         }
                         detail::callAfter(m_context, claimRetry, m_alive,
                                           [this, lease, tries] { endLease(lease, tries + 1); });
                     });
}

void Ownership::renew()
{
    m_store.renewLease(m_leaseId, [this, sentAt = bootNow(), lease = m_leaseId,
                                   alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (!alive.expired()) {
            judgeRenewal(lease, sentAt, reply);
        }
    });
}

void Ownership::judgeRenewal(platform::LeaseId lease, TimePoint sentAt,
                             const platform::StoreReply &reply)
{
    if (m_stage != Stage::Holding || lease != m_leaseId) {
        return;
    }
    if (reply.outcome == platform::StoreOutcome::Missing) {
        resign("the lease has ended");
        return claimAgain();
    }
    if (reply.outcome != platform::StoreOutcome::Done) {
        if (!std::exchange(m_isRenewalFailing, true)) {
            tickAfter(renewRetry);
        }
        return;
    }
    m_lease.renewed(sentAt);
    if (isHeld() && std::exchange(m_isRenewalFailing, false)) {
        m_listener.resumed(std::exchange(m_isInDoubt, false));
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
        if (!std::exchange(m_isInDoubt, true)) {
            m_listener.doubted();
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
