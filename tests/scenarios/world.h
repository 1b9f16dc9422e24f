// Runs a scenario: several entries with the real decision code, the stand-in store's state machine,
// a network and a virtual clock. After each tick every invariant is checked.
#pragma once

#include "maintenance/waveaction.h"
#include "quota/quotaledger.h"
#include "standins/platform/storemodel.h"
#include "tests/scenarios/entrynode.h"
#include "tests/scenarios/hostfleet.h"
#include "tests/scenarios/scenario.h"
#include "tests/scenarios/virtualnetwork.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::scenarios {

class World
{
public:
    explicit World(const Scenario &scenario);

    // Returns what went wrong, with the step's line, or nothing.
    std::optional<std::string> run();
    std::optional<std::string> perform(const Action &action);

    std::vector<EntryId> entries() const;
    std::size_t ticks() const { return m_ticks; }

private:
    struct Slot
    {
        membership::PeerAddress address;
        // Nothing while no process runs.
        std::unique_ptr<EntryNode> node;
        // What the last life asked for; a new life goes on with it.
        std::map<std::string, unsigned> demand;
    };
    // Work of a killed entry, which goes on at its minions.
    struct Orphan
    {
        std::string workspace;
        TimePoint end;
    };
    struct Withdrawal
    {
        std::optional<TimePoint> durableAt;
        // Since when an entry that still admits the key has heard a peer that knows better.
        std::map<EntryId, TimePoint> heardSince;
    };
    // A store call on its way: runs when due.
    struct StoreCall
    {
        EntryId from;
        std::uint64_t incarnation = 0;
        TimePoint due;
        std::function<void(EntryNode &, bool answered)> answer;
        std::function<bool()> apply;
    };

    using Failure = std::optional<std::string>;

    Failure act(const RunStep &step);
    Failure act(const CutStep &step);
    Failure act(const IsolateStep &step);
    Failure act(const HealStep &step);
    Failure act(const NetworkStep &step);
    Failure act(const StoreStep &step);
    Failure act(const ProcessStep &step);
    Failure act(const LimitStep &step);
    Failure act(const DemandStep &step);
    Failure act(const ApplyStep &step);
    Failure act(const WithdrawStep &step);
    Failure act(const SubmitStep &step);
    Failure act(const ExpectAdmission &step);
    Failure act(const ExpectRunning &step);
    Failure act(const ExpectInForce &step);
    Failure act(const ExpectLimitInForce &step);
    Failure act(const ExpectRuns &step);
    Failure act(const WaveStep &step);
    Failure act(const WaveChangeStep &step);
    Failure act(const HostFailureStep &step);
    Failure act(const HostReturnStep &step);
    Failure act(const MoveStep &step);
    Failure act(const ExpectWave &step);
    Failure act(const ExpectHost &step);
    Failure act(const ExpectReboots &step);
    Failure act(const ExpectPool &step);

    void tick();
    void tickNode(EntryNode &node);
    void tickQuota(EntryNode &node);
    void tickSpread(EntryNode &node);
    void tickAttempts(EntryNode &node);
    void work(EntryNode &node);
    void setPeers(EntryNode &node);

    // Waves and pools, in worldfleet.cpp.
    void tickFleet(EntryNode &node);
    void sendRequests(EntryNode &node);
    void readFleetRecords(EntryNode &node);
    void listHosts(EntryNode &node);
    bool leads(EntryNode &node, const std::string &scope);
    void keepWaves(EntryNode &node);
    void keepPools(EntryNode &node);
    void ask(EntryNode &node, const maintenance::DrainPoll &poll);
    maintenance::DrainAnswer answerPoll(EntryNode &node, const maintenance::DrainPoll &poll);
    void receiveMaintenance(EntryNode &node, const Envelope &envelope);
    std::unordered_map<WorkerId, store::StoreRevision> quietOf(const EntryNode &node,
                                                               const std::string &scope) const;
    void writeFleetRecord(EntryNode &node, const store::StoreWrite &write);
    void askReboot(EntryNode &node, const maintenance::RebootRequest &request);
    Failure checkTaken(const maintenance::HostRecord &record) const;
    Failure checkWaves();
    bool isQuietTime() const;

    void deliver(Envelope envelope);
    void receive(EntryNode &node, const Envelope &envelope);
    void receiveOutcome(EntryNode &node, const Envelope &envelope);
    void perform(EntryNode &node, const configuration::SpreadActions &actions);
    void checkPublished(const EntryNode &node, store::StoreRevision revision);
    void send(const EntryNode &node, const EntryId &to, Body body);
    void sendClaim(EntryNode &node, Attempt &attempt);
    void endClaim(EntryNode &node, Attempt &attempt, dispatch::ClaimVerdict verdict);
    std::optional<EntryId> ownerOf(const EntryNode &node, const Attempt &attempt) const;

    void callStore(const EntryNode &node, std::function<bool()> apply,
                   std::function<void(EntryNode &, bool)> answer);
    void answerStoreCalls();
    void writeQuota(EntryNode &node, const store::StoreWrite &write);
    void readQuota(EntryNode &node);
    void readConfiguration(EntryNode &node, store::StoreRevision after);
    void storeWithdrawn(EntryNode &node, const std::vector<KeyId> &ids);
    store::StoreListing storeChanges(const std::string &prefix, store::StoreRevision after) const;
    bool storeReachable(const EntryNode &node) const;

    void start(Slot &slot);
    void kill(Slot &slot);
    std::vector<Slot *> slotsOf(const std::string &place);
    Slot *findSlot(const EntryId &entry);
    unsigned totalRunning(const std::string &workspace) const;
    quota::QuotaLedger ledgerOf(const std::string &workspace) const;
    bool hearsOf(const Slot &slot, const KeyId &key) const;
    Failure checkInvariants();
    Failure checkLimits();
    Failure checkWithdrawals();
    Failure checkRuns() const;

    const Scenario &m_scenario;
    Random m_random;
    TimePoint m_now{};
    std::size_t m_ticks = 0;
    VirtualNetwork m_network;
    standins::StoreModel m_store;
    // The store as it was when it began to answer with old revisions.
    std::optional<standins::StoreModel> m_oldStore;
    // When a link last changed, or a process went on or was paused.
    TimePoint m_lastLinkChange{};
    // When the store last answered with an old state.
    TimePoint m_lastOldAnswer{};
    StoreStep m_storeFaults;
    std::deque<StoreCall> m_storeCalls;
    std::map<EntryId, Slot> m_slots;
    HostFleet m_hosts;
    // By scope: who holds the lease, until when.
    struct Lease
    {
        EntryId holder;
        std::uint64_t incarnation = 0;
        TimePoint end;
    };
    std::map<std::string, Lease> m_leases;
    // The records as the store holds them, for the checks.
    maintenance::MaintenanceRecords m_records;
    // When an answer of the store may last have been old, late or lost.
    TimePoint m_lastStoreFault{};
    std::vector<Orphan> m_orphans;
    std::uint64_t m_nextIncarnation = 1;
    std::map<std::string, unsigned> m_limits;
    std::uint64_t m_limitRevision = 1;
    // The highest limit of each workspace that is not yet replaced by one in force.
    std::map<std::string, std::uint64_t> m_allowed;
    std::map<std::string, Withdrawal> m_withdrawals;
    // Idempotency key of each name, and how often its work was started.
    std::map<std::string, std::string> m_keys;
    std::map<std::string, unsigned> m_runs;
    // Set by a part that saw an invariant broken.
    Failure m_broken;
};

} // namespace cyclamenlatch::scenarios
