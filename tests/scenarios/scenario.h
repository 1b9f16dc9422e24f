// A scripted scenario: the world it starts from and its steps. docs/design/proof.md describes the
// language.
#pragma once

#include "global/ids.h"
#include "global/time.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::scenarios {

// Lets virtual time pass.
struct RunStep
{
    Duration time{};
};

// Two places stop hearing each other; the place "platform" is the store's.
struct CutStep
{
    std::string from;
    std::string to;
    // Only what is sent from the first place to the second is lost.
    bool oneWay = false;
};

// A data centre is cut off from all others and from the platform.
struct IsolateStep
{
    std::string dataCentre;
};

// Ends every cut.
struct HealStep
{};

struct NetworkStep
{
    unsigned lossPercent = 0;
    unsigned repeatPercent = 0;
    Duration maxDelay{};
};

struct StoreStep
{
    bool down = false;
    // Answers show the store as it was when this was set.
    bool stale = false;
    // Chance that a write takes effect and its answer is lost.
    unsigned loseAnswersPercent = 0;
    Duration delay{};
};

enum class ProcessVerb { Pause, Resume, Kill, Start, Leave };

struct ProcessStep
{
    ProcessVerb verb = ProcessVerb::Pause;
    // An entry, a data centre for all of its entries, or "leader of SCOPE": the entry that holds
    // the lease for a data centre's waves or, as scope "pools", for moves.
    std::string target;
};

struct LimitStep
{
    std::string workspace;
    unsigned units = 0;
};

// Every entry of the place keeps this much work running where it can.
struct DemandStep
{
    std::string place;
    std::string workspace;
    unsigned units = 0;
};

// An operator applies a new revision of the fleet document, through an entry when one is named.
struct ApplyStep
{
    EntryId at;
};

struct WithdrawStep
{
    std::string key;
    EntryId at;
};

// A caller hands a request in with an idempotency key; the same name is the same key.
struct SubmitStep
{
    std::string key;
    DataCentreId home;
    EntryId at;
    Duration work{};
};

struct ExpectAdmission
{
    std::string key;
    EntryId at;
    bool admitted = false;
};

struct ExpectRunning
{
    std::string workspace;
    unsigned least = 0;
    unsigned most = 0;
};

// The newest revision is in force at every running entry of the place.
struct ExpectInForce
{
    std::string place;
};

// No more than the limit can be running, by the store's own ledger.
struct ExpectLimitInForce
{
    std::string workspace;
};

struct ExpectRuns
{
    std::string key;
    unsigned least = 0;
    unsigned most = 0;
};

// An operator starts a wave over a pool's hosts, or over all.
struct WaveStep
{
    std::string name;
    std::string pool;
    unsigned perRack = 0;
    unsigned reserve = 0;
    unsigned failuresToPause = 3;
    Duration rebootDeadline{};
    Duration slowStart{};
};

enum class WaveVerb { Pause, Resume };

struct WaveChangeStep
{
    WaveVerb verb = WaveVerb::Pause;
    std::string name;
};

// A host fails for a while, outside of any wave.
struct HostFailureStep
{
    WorkerId worker;
    Duration time{};
};

// Whether a host comes back from its reboot.
struct HostReturnStep
{
    WorkerId worker;
    bool returns = false;
};

// An operator sends a worker to another pool, through an entry and by what that entry knows.
struct MoveStep
{
    WorkerId worker;
    PoolId pool;
    EntryId at;
};

struct ExpectWave
{
    std::string name;
    std::string state;
};

struct ExpectHost
{
    std::string wave;
    WorkerId worker;
    std::string step;
};

// Hosts that the wave has rebooted so far.
struct ExpectReboots
{
    std::string wave;
    unsigned least = 0;
    unsigned most = 0;
};

// The worker serves the pool, by its record.
struct ExpectPool
{
    WorkerId worker;
    PoolId pool;
};

using Action = std::variant<RunStep, CutStep, IsolateStep, HealStep, NetworkStep, StoreStep,
                            ProcessStep, LimitStep, DemandStep, ApplyStep, WithdrawStep, SubmitStep,
                            ExpectAdmission, ExpectRunning, ExpectInForce, ExpectLimitInForce,
                            ExpectRuns, WaveStep, WaveChangeStep, HostFailureStep, HostReturnStep,
                            MoveStep, ExpectWave, ExpectHost, ExpectReboots, ExpectPool>;

struct Step
{
    int line = 0;
    Action action;
};

struct Scenario
{
    std::string name;
    std::uint64_t seed = 1;
    // Why the scenario is expected to fail, as listed in KNOWN-RED.txt; empty for all others.
    std::string knownRed;
    // Entries of each data centre; they are named "<data centre>.<number>" from 1.
    std::map<std::string, unsigned> dataCentres;
    // Upper limits of the workspaces.
    std::map<std::string, unsigned> workspaces;
    // Workers of each pool; they are named w-1, w-2, ... over all pools. Each pool has a service.
    std::map<std::string, unsigned> pools;
    // Workers of each service that may be out at once.
    unsigned maxUnavailable = 1;
    std::vector<Step> steps;
};

} // namespace cyclamenlatch::scenarios
