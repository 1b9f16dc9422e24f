// Whether this entry owns the fleet's work. The owner's key lives on a lease in the store; the
// number of the ownership, which rises with each, is the fencing token of its orders. The holder
// counts its lease from when it sent the renewal, on a clock that counts sleep, and stops before
// the store can let another one in.
//
// A lease that could not be renewed in time may have ended or not: the ownership is in doubt, and
// nothing is done by it. The store tells: it renews the lease, so that its key has stood all the
// while and nobody else can have owned, or it knows the lease no more.
#pragma once

#include "control/keywatcher.h"
#include "control/platformstoreclient.h"
#include "store/heldlease.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenlatch::control {

struct Tenure
{
    // Counts ownerships from 1.
    std::uint64_t term = 0;
    // Of the owner's key; every write of the owner is conditional on it.
    platform::StoreRevision revision = 0;
};

class Ownership
{
public:
    struct Listener
    {
        std::function<void(const Tenure &)> gained;
        std::function<void(const std::string &reason)> lost;
        // It may have ended: isHeld() is false until it is resumed or lost.
        std::function<void()> suspended;
        // The store renews again what it did not renew before; wasSuspended: the ownership was.
        std::function<void(bool wasSuspended)> resumed;
    };

    // claimDelay: how long a free ownership is left to others first.
    Ownership(asio::io_context &context, PlatformStoreClient &store, std::string name,
              std::chrono::milliseconds claimDelay, Listener listener);
    ~Ownership();
    Ownership(const Ownership &) = delete;
    Ownership &operator=(const Ownership &) = delete;

    void start();
    // Gives the ownership back and takes it no more.
    void stop();
    // Gives it up, because somebody else has it or this entry can't use it, and tries again later.
    void resign(const std::string &reason);
    // The store answers this entry again after it did not.
    void storeRecovered();
    // Ask right before each act that only the owner may do.
    bool isHeld() const;
    // For calls that may wait for a connection while the lease runs out: whether it is held, and
    // the part that sends them, which alive stands for, still there.
    std::function<bool()> makeOwnershipCheck(std::weak_ptr<bool> alive) const;
    const Tenure &tenure() const { return m_tenure; }

private:
    enum class Stage { Watching, Claiming, Holding };

    void applyOwnerItems(const std::vector<platform::StoreItem> &items, bool isSnapshot);
    void claim();
    void reclaim();
    void claimWithLease(platform::LeaseId lease, Duration timeToLive, TimePoint sentAt);
    void writeClaim(platform::LeaseId lease, const platform::StoreReply &term, Duration timeToLive,
                    TimePoint sentAt);
    void handleClaimReply(platform::LeaseId lease, std::uint64_t term, Duration timeToLive,
                          TimePoint sentAt, const platform::StoreReply &reply);
    void becomeOwner(platform::LeaseId lease, const Tenure &tenure, Duration timeToLive,
                     TimePoint sentAt);
    void abandonClaim(platform::LeaseId lease);
    void renew();
    void handleRenewalReply(platform::LeaseId lease, TimePoint sentAt,
                            const platform::StoreReply &reply);
    void revokeLease(platform::LeaseId lease, unsigned tries);
    void tick();
    void tickAfter(std::chrono::milliseconds delay);

    asio::io_context &m_context;
    PlatformStoreClient &m_store;
    const std::string m_name;
    const std::chrono::milliseconds m_claimDelay;
    const Listener m_listener;
    asio::steady_timer m_timer;
    KeyWatcher m_ownerWatcher;
    Stage m_stage = Stage::Watching;
    bool m_isStopped = false;
    bool m_isOwnerKnown = false;
    // Of the owner as the store last told; empty: none, or not known.
    std::string m_ownerName;
    // Since when the store has told that there is no owner.
    std::optional<TimePoint> m_noOwnerSince;
    // Value of this entry's claim; differs from claim to claim.
    std::string m_claim;
    unsigned m_claims = 0;
    Tenure m_tenure;
    platform::LeaseId m_leaseId = 0;
    store::HeldLease m_lease;
    // The last renewal that was answered, or given up, did not renew.
    bool m_isRenewalFailing = false;
    bool m_isSuspended = false;
    // No claim before this time.
    TimePoint m_nextClaimAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
