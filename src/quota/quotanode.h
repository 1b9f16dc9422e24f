// The trading of units at one entry, as a pure state machine: no clock, no lock, no network.
// Invariant over all entries: units held, in transit and handed back add up to the units minted,
// because a unit is deducted here before any message or record that gives it away is made.
#pragma once

#include "global/random.h"
#include "global/time.h"
#include "quota/quotaholder.h"
#include "quota/quotamessage.h"
#include "quota/quotaresource.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::quota {

// How a resource stands at this entry.
struct QuotaUse
{
    unsigned held = 0;
    unsigned running = 0;
    // Failed acquisitions so far.
    std::uint64_t refused = 0;
};

// A live entry that units can be traded with.
struct QuotaPeer
{
    QuotaHolder holder;
    DataCentreId dataCentre;
};

struct QuotaOutgoing
{
    QuotaHolder to;
    QuotaMessage message;
};

// Units that crossed between this entry and a gone holder: received from it less sent to it.
using QuotaFold = std::map<QuotaResource, std::int64_t>;

class QuotaNode
{
public:
    QuotaNode(QuotaHolder self, DataCentreId dataCentre);

    const QuotaHolder &self() const { return m_self; }

    bool tryAcquire(const QuotaResource &resource);
    // Returns whether a refused acquisition may now be tried again.
    bool release(const QuotaResource &resource);
    QuotaUse use(const QuotaResource &resource) const;
    // Units that refused work lacks here, and that other entries have asked for in vain.
    unsigned unmetDemand(const QuotaResource &resource) const;

    // Units drawn from the ledger, after the record that says so is written.
    bool deposit(const QuotaResource &resource, unsigned units);
    // Sets a holding that is not traded.
    bool setHeld(const QuotaResource &resource, unsigned units);
    // Takes up to this many idle units out; they are gone here when it returns.
    unsigned withdraw(const QuotaResource &resource, unsigned units);
    // While the ledger has more units out than the limit, this entry keeps its part of the limit
    // only: floor(held * limit / out). Equal values end that.
    void setLowering(const QuotaResource &resource, std::uint64_t limit, std::uint64_t out);
    // Units beyond this entry's part of a lowered limit that are idle.
    unsigned excess(const QuotaResource &resource) const;

    // Other entries to trade with; all of them are registered holders.
    void setPeers(std::vector<QuotaPeer> peers);
    // Resends what is not acknowledged, asks for units that are missing, returns surplus.
    std::vector<QuotaOutgoing> tick(TimePoint now, Random &random);
    // Returns the resources that have become available to refused work.
    std::vector<QuotaResource> receive(const QuotaHolder &from, const QuotaMessage &message,
                                       TimePoint now);
    // Neither takes units from the holder nor gives any from now on. Final; idempotent.
    QuotaFold close(const QuotaHolder &holder);
    // Gives everything idle away at the next ticks and asks for nothing.
    void setLeaving();
    // Starts nothing new: this holder was declared gone.
    void revoke() { m_revoked = true; }
    bool revoked() const { return m_revoked; }

    // Units held, and units sent but not acknowledged.
    std::uint64_t heldInTotal() const;
    std::uint64_t inTransit() const;
    std::vector<QuotaResource> resources() const;
    // The entry of a data centre that pools idle units of a resource.
    std::optional<QuotaHolder> steward(const QuotaResource &resource,
                                       const DataCentreId &dataCentre) const;
    bool isSteward(const QuotaResource &resource);
    bool hasPeers() const { return !m_peers.empty(); }

private:
    struct Channel
    {
        // Running totals of units. acknowledged is at most sent.
        std::uint64_t sent = 0;
        std::uint64_t acknowledged = 0;
        std::uint64_t received = 0;
        // The other side repeated a transfer, or sent a new one.
        bool acknowledgementDue = false;
        TimePoint nextResend{};
    };
    struct Promise
    {
        QuotaHolder to;
        unsigned units = 0;
        // The part of the units that this entry starts no new work on.
        unsigned reserved = 0;
        TimePoint expiry;
    };
    struct Holding
    {
        unsigned held = 0;
        // At most held, except while this holding is being lowered.
        unsigned running = 0;
        std::uint64_t refused = 0;
        std::uint64_t refusedAtTick = 0;
        bool wanted = false;
        // Most units in use during the last surplus interval and in this one.
        unsigned lastPeak = 0;
        unsigned peak = 0;
        TimePoint nextSurplus{};
        TimePoint nextAsk{};
        Duration askDelay{};
        std::uint64_t limit = 1;
        std::uint64_t out = 1;
        // Units to give away as soon as they are idle.
        std::vector<Promise> promises;
        std::map<QuotaHolder, Channel> channels;
        // The steward in this data centre among the peers of this generation.
        std::optional<QuotaHolder> steward;
        std::uint64_t stewardGeneration = 0;
    };
    using Outbox = std::map<QuotaHolder, QuotaMessage>;

    const std::optional<QuotaHolder> &localSteward(Holding &holding,
                                                   const QuotaResource &resource) const;
    static unsigned reserved(const Holding &holding);
    static unsigned fairPart(const Holding &holding, const QuotaAsk &ask);
    static unsigned part(const Holding &holding);
    unsigned usable(const Holding &holding) const;
    static unsigned idle(const Holding &holding);
    bool takeWant(Holding &holding) const;
    bool tradable(const QuotaHolder &holder) const;
    void give(Holding &holding, const QuotaResource &resource, const QuotaHolder &to,
              unsigned units, TimePoint now, Outbox &outbox);
    void answerAsk(const QuotaAsk &ask, TimePoint now);
    void keepPromises(Holding &holding, const QuotaResource &resource, TimePoint now,
                      Outbox &outbox);
    void resend(Holding &holding, const QuotaResource &resource, TimePoint now, Outbox &outbox);
    void askForUnits(Holding &holding, const QuotaResource &resource, TimePoint now, Random &random,
                     Outbox &outbox);
    void returnSurplus(Holding &holding, const QuotaResource &resource, TimePoint now,
                       Outbox &outbox);
    void forwardAsks(Outbox &outbox);

    QuotaHolder m_self;
    DataCentreId m_dataCentre;
    bool m_leaving = false;
    bool m_revoked = false;
    std::unordered_map<QuotaResource, Holding> m_holdings;
    // Asks that this steward could not meet; sent on to other data centres at the next tick.
    std::vector<QuotaAsk> m_forwards;
    std::vector<QuotaPeer> m_peers;
    // Counts changes of m_peers, from 1.
    std::uint64_t m_peersGeneration = 1;
    std::set<QuotaHolder> m_closed;
};

} // namespace cyclamenlatch::quota
