// Keeps this entry's configuration and withdrawn keys current: carries out what SpreadState
// decides, through the store's client and the peer bus, and writes operators' changes.
// Lock order: m_publishMutex before m_mutex. m_mutex is never held while a callback, the store's
// client or the peer bus is called; m_publishMutex is held while onFleet runs, so that revisions
// reach it in order.
#pragma once

#include "configuration/fleetrevision.h"
#include "configuration/spreadreport.h"
#include "configuration/spreadstate.h"
#include "global/result.h"
#include "membership/peerbus.h"
#include "store/storeclient.h"

#include <asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace cyclamenlatch::configuration {

struct ConfigurationCallbacks
{
    // Called in the order of revisions, never with a lower one.
    std::function<void(const FleetRevision &)> onFleet;
    // Called with all withdrawn keys whenever there are more.
    std::function<void(const std::vector<KeyId> &)> onWithdrawn;
};

class Configuration
{
public:
    using ApplyCompletion = std::function<void(Result<store::StoreRevision>)>;
    using DoneCompletion = std::function<void(Result<void>)>;
    using ReportCompletion = std::function<void(const SpreadReport &)>;

    // Subscribes to its topics: create it before the peer bus starts.
    Configuration(asio::io_context &context, membership::PeerBus &peers, store::StoreClient &store,
                  ConfigurationCallbacks callbacks);

    void start();
    void stop();

    FleetRevision current() const;
    // The fleet document of one of the latest revisions, or nothing when it is too old.
    std::shared_ptr<const fleet::FleetDocument> findRevision(store::StoreRevision revision) const;
    std::string unreadyReason() const;
    // Last time at which this entry knew of every withdrawal; the epoch: never.
    TimePoint evidenceAt() const { return TimePoint(Duration(m_evidence.load())); }
    bool isWithdrawn(const KeyId &id) const;
    bool isDurable(const KeyId &id) const;
    bool isRelay() const;

    // Writes the document as the successor of the revision from. Kind Conflict: another operator
    // was first.
    void apply(const fleet::FleetDocument &document, store::StoreRevision from,
               ApplyCompletion completion);
    // Withdraws the key at this entry at once and spreads it; done tells when the store holds it.
    void withdraw(const KeyId &id, DoneCompletion done);

    SpreadReport reportRevision(store::StoreRevision revision) const;
    // Where all of this entry's withdrawn keys are refused.
    SpreadReport reportWithdrawn() const;
    // Calls back once, when the revision is in force everywhere or the time is up.
    void whenInForce(store::StoreRevision revision, std::chrono::milliseconds patience,
                     ReportCompletion completion);
    void whenWithdrawnEverywhere(std::chrono::milliseconds patience, ReportCompletion completion);

private:
    // A caller that waits for acknowledgements.
    struct Waiter
    {
        std::function<SpreadReport()> report;
        TimePoint deadline;
        ReportCompletion completion;
    };
    struct Applying;
    struct StoringWithdrawn;

    void scheduleTick();
    // Runs change(state) under the lock, then carries out its actions.
    template<typename Change>
    void act(const Change &change);
    void carryOut(SpreadActions actions);
    void carryOut(const SendMessage &action);
    void carryOut(const PublishFleet &action);
    void carryOut(const PublishWithdrawn &action);
    void carryOut(const ReadStore &action);
    void carryOut(const ReadPart &action);
    void carryOut(const StoreWithdrawn &action);
    void publish(const PublishFleet &action);
    void wait(Waiter waiter);
    void answerWaiters();
    void writeNextPart(std::shared_ptr<Applying> applying);
    void writeHead(std::shared_ptr<Applying> applying);
    void storeWithdrawn(std::vector<KeyId> ids, DoneCompletion done);
    void storeShard(std::shared_ptr<StoringWithdrawn> storing);

    asio::io_context &m_context;
    membership::PeerBus &m_peers;
    store::StoreClient &m_store;
    const ConfigurationCallbacks m_callbacks;
    asio::steady_timer m_timer;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::int64_t> m_evidence = 0;
    std::mutex m_publishMutex;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex.
    SpreadState m_state;
    Random m_random;
    // Newest last.
    std::deque<FleetRevision> m_revisions;
    std::vector<Waiter> m_waiters;
};

} // namespace cyclamenlatch::configuration
