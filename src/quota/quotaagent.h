// One entry's part in sharing limits, as a pure state machine: trades through QuotaNode and keeps
// the store's records (QuotaLedger, HolderRegistry) in step. Time, randomness, messages and the
// store's answers are passed in; messages and writes come out.
#pragma once

#include "global/random.h"
#include "global/result.h"
#include "quota/gonesubject.h"
#include "quota/holderregistry.h"
#include "quota/quotaledger.h"
#include "quota/quotanode.h"
#include "store/hoststatus.h"
#include "store/storeitem.h"
#include "store/storewrite.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::quota {

inline constexpr const char *quotaPrefix = "quota/";
inline constexpr const char *registryKey = "quota/holders";
inline constexpr const char *ledgerPrefix = "quota/limits/";

struct QuotaAgentSettings
{
    QuotaHolder self;
    DataCentreId dataCentre;
    // "address:port" that only one process at a time can hold.
    std::string address;
    // Work of a gone holder has ended this long after the proof that it is gone.
    Duration longestWork = std::chrono::minutes(10);
    HostLife host = {};
};

// The limits of one revision of the fleet document.
struct FleetLimits
{
    std::uint64_t revision = 0;
    unsigned dataCentres = 1;
    std::map<std::string, unsigned> units;
};

struct QuotaActions
{
    std::vector<QuotaOutgoing> messages;
    std::vector<store::StoreWrite> writes;
};

enum class WriteResult { Done, NotDone, Unknown };

// How far a limit is in force.
struct LimitState
{
    std::uint64_t limit = 0;
    // The limit of the newest fleet document that this entry knows.
    std::uint64_t wanted = 0;
    // Units given out; more than the limit while a lower one is not in force yet.
    std::uint64_t out = 0;
    // Units that gone holders had and that are not proven free yet.
    std::uint64_t locked = 0;

    bool inForce() const { return limit == wanted && out <= limit; }
};

class QuotaAgent
{
public:
    explicit QuotaAgent(QuotaAgentSettings settings);

    QuotaNode &node() { return m_node; }
    const QuotaNode &node() const { return m_node; }

    void setFleet(FleetLimits limits);
    // Live entries, this one left out; those that are not registered are ignored.
    void setLive(std::vector<QuotaPeer> peers);
    QuotaActions tick(TimePoint now, Random &random);
    void receive(const QuotaHolder &from, const QuotaMessage &message, TimePoint now);
    // An item under quotaPrefix as the store gave it; older ones than known are ignored.
    void takeItem(const store::StoreItem &item, TimePoint now);
    // The first full listing has been passed to takeItem.
    void setListed() { m_listed = true; }
    // After anything but Done the caller reads the key and passes it to takeItem.
    void takeWriteResult(const store::StoreWrite &write, WriteResult result,
                         store::StoreRevision revision, TimePoint now, Random &random);
    // Resources that have become available to refused work since the last call.
    std::vector<QuotaResource> takeAvailable();
    // Gives everything back, to other entries or else to the store, as work ends.
    void leave();
    // Nothing is held or in transit, so that the process may end without locking units.
    bool unitsReturned() const;
    // The store knows that units were returned, so that nobody has to wait for a proof.
    bool hasLeft() const;
    // An operator vouches that the work of these entries has ended or will within the longest
    // work, and that they start none. Fails when one of them is alive. May be repeated.
    Result<GoneNote> takeOperatorsWord(const GoneSubject &subject);
    // Whether this entry is the one to look for silent holders whose host was replaced.
    bool wantsHostList() const;
    // The platform's list, which lags. It proves a silent holder gone when it counts more
    // replacements of the holder's host than the holder knew of; an old list counts fewer.
    void takeHostList(const std::vector<store::HostStatus> &hosts);

    const HolderRegistry &registry() const { return m_registry; }
    // Registered, not known to be gone, and neither this entry nor a live one.
    bool isSilent(const QuotaHolder &holder) const;
    bool registered() const;
    // Workspaces that have a limit, or units out from an earlier one.
    std::vector<std::string> limitNames() const;
    std::optional<LimitState> limitState(const std::string &workspace) const;

private:
    struct LedgerView
    {
        QuotaLedger ledger;
        store::StoreRevision revision = 0;
    };
    // The write of a key whose answer is not known yet.
    struct PendingWrite
    {
        store::StoreWrite write;
        // Units drawn or handed back by it, and the account's operation that tells whether it
        // took effect; 0 for other writes.
        std::uint64_t drawn = 0;
        std::uint64_t handedBack = 0;
        std::uint64_t operation = 0;
        bool inFlight = false;
        // An answer was lost, so a later refusal does not prove that it had no effect.
        bool unsure = false;
    };
    struct Retry
    {
        TimePoint next{};
        Duration delay{};
    };

    void planRegistry(TimePoint now, QuotaActions &actions);
    void planLedgers(TimePoint now, QuotaActions &actions);
    void planLedger(const std::string &workspace, TimePoint now, QuotaActions &actions);
    void planDraw(const std::string &workspace, const LedgerView &view, QuotaActions &actions);
    void planHandBack(const std::string &workspace, const LedgerView &view, unsigned units,
                      QuotaActions &actions);
    bool planSettlement(TimePoint now, QuotaActions &actions);
    bool settlementDue(TimePoint now) const;
    void resendPending(TimePoint now, QuotaActions &actions);
    bool mayWrite(const std::string &key, TimePoint now) const;
    void write(const std::string &key, std::string value, store::StoreRevision expected,
               QuotaActions &actions, PendingWrite pending);
    void resolve(const std::string &key, bool tookEffect);
    void applyRegistry(TimePoint now);
    void applyLedger(const std::string &workspace);
    void updatePeers();
    // Whether this entry does the work that any entry could do.
    bool isLeader() const;
    std::uint64_t drawnHere(const QuotaLedger &ledger) const;

    QuotaAgentSettings m_settings;
    QuotaNode m_node;
    FleetLimits m_fleet;
    std::vector<QuotaPeer> m_live;
    HolderRegistry m_registry;
    // Revision 0: the key does not exist as far as this entry knows.
    store::StoreRevision m_registryRevision = 0;
    // By workspace.
    std::map<std::string, LedgerView> m_ledgers;
    // By key; at most one write per key at a time.
    std::map<std::string, PendingWrite> m_pending;
    std::map<std::string, Retry> m_retries;
    // When this entry first saw each proof; waits are counted on its own clock.
    std::map<QuotaHolder, TimePoint> m_goneSince;
    // Proofs that the registry does not hold yet, each of one life only.
    std::map<QuotaHolder, GoneProof> m_reports;
    std::vector<QuotaResource> m_available;
    TimePoint m_nextPlan{};
    bool m_leaving = false;
    // The store was read once; before that nothing is written.
    bool m_listed = false;
};

} // namespace cyclamenlatch::quota
