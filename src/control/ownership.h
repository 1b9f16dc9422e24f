// Elects the owner of the fleet's work. The owner's key is attached to a lease in the platform's
// store. The term rises with each ownership, and so do the fencing tokens of the owner's orders.
// The owner counts its lease from the time it sent the renewal, on a clock that goes on while the
// machine is suspended, and stops acting before the store can let another entry become the owner.
//
// A lease that could not be renewed in time may or may not have expired: the ownership is
// suspended, and the owner does not act. Either the store then renews the lease, which proves that
// the key existed all the time and no other entry was the owner, or the store does not know the
// lease any more, and the ownership is lost.
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

// Fencing tokens that each ownership has. One more is used for a target with each incarnation that
// the owner meets.
inline constexpr std::uint32_t tokensPerTenure = 64;

struct Tenure
{
    // Number of this ownership, counted from 1 over all entries; the fencing token of its orders
    // for hosts.
    std::uint64_t term = 0;
    // The first of tokensPerTenure fencing tokens of its orders to targets.
    std::uint64_t firstToken = 0;
    // Revision of the owner's key; every write of the owner is conditional on it.
    platform::StoreRevision revision = 0;
};

class Ownership
{
public:
    struct Listener
    {
        std::function<void(const Tenure &)> gained;
        std::function<void(const std::string &reason)> lost;
        // The lease may have expired: isHeld() is false until the ownership is resumed or lost.
        std::function<void()> suspended;
        // The store renews the lease again after failed renewals; wasSuspended: the ownership was
        // suspended in between.
        std::function<void(bool wasSuspended)> resumed;
    };

    // claimDelay: how long this entry leaves a free ownership to other entries before it claims it.
    Ownership(asio::io_context &context, PlatformStoreClient &store, std::string name,
              std::chrono::milliseconds claimDelay, Listener listener);
    ~Ownership();
    Ownership(const Ownership &) = delete;
    Ownership &operator=(const Ownership &) = delete;

    void start();
    // Resigns if this entry is the owner, and claims the ownership no more.
    void stop();
    // Gives the ownership up, because another entry has it or this one can't act on it, and revokes
    // the lease. This entry may claim the ownership again after a pause. No effect for a non-owner.
    void resign(const std::string &reason);
    // To be called when the store answers again after an outage.
    void storeRecovered();
    // Whether this entry is the owner now. To be checked right before each act of the owner.
    bool isHeld() const;
    // Check for calls that may still wait for a connection when the lease expires: true while the
    // ownership is held and the sender exists, whose lifetime alive tracks.
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
    void handleClaimReply(platform::LeaseId lease, Tenure tenure, Duration timeToLive,
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
    // Name of the owner as last read from the store; empty: none, or not known.
    std::string m_ownerName;
    // Since when the store has had no owner, as far as this entry has read.
    std::optional<TimePoint> m_noOwnerSince;
    // Value that this entry's last claim wrote to the owner's key; unique to the claim.
    std::string m_claim;
    unsigned m_claimCount = 0;
    Tenure m_tenure;
    platform::LeaseId m_leaseId = 0;
    store::HeldLease m_lease;
    // The last completed renewal failed or timed out.
    bool m_isRenewalFailing = false;
    bool m_isSuspended = false;
    // Earliest time of the next claim.
    TimePoint m_nextClaimAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
