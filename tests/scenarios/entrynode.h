// One life of one entry in a scenario: the real decision code of its parts.
#pragma once

#include "configuration/spreadstate.h"
#include "dispatch/outcomeledger.h"
#include "dispatch/ownerroster.h"
#include "quota/quotaagent.h"
#include "tests/scenarios/fleetkeeper.h"

#include <map>
#include <optional>
#include <string>

namespace cyclamenlatch::scenarios {

// A claim or run of an idempotency key that this life of the entry has under way.
struct Attempt
{
    dispatch::OutcomeClaim claim;
    DataCentreId home;
    std::optional<EntryId> owner;
    TimePoint givenUpAt;
    Duration work{};
    // Set while the work runs.
    std::optional<TimePoint> workEnds;
    // Set once it has ended and the owner has not yet acknowledged that.
    std::optional<dispatch::OutcomeReport> report;
    TimePoint nextSend{};
};

struct EntryNode
{
    EntryNode(membership::PeerAddress entryAddress, std::uint64_t life, Duration longestWork,
              TimePoint now)
        : address(std::move(entryAddress))
        , incarnation(life)
        , quota(quota::QuotaAgentSettings{{address.entry, incarnation},
                                          address.dataCentre,
                                          address.address + ":" + std::to_string(address.port),
                                          longestWork})
        , spread(address, now)
        , ledger(dispatch::LedgerSettings{})
        , roster(address.entry, incarnation)
    {}

    membership::PeerAddress address;
    std::uint64_t incarnation = 0;
    quota::QuotaAgent quota;
    configuration::SpreadState spread;
    dispatch::OutcomeLedger ledger;
    dispatch::OwnerRoster roster;
    FleetKeeper keeper;
    std::map<std::string, Attempt> attempts;
    std::uint64_t nextAttempt = 1;
    // Work that the entry is asked to keep running, by workspace.
    std::map<std::string, unsigned> demand;
    // Ends of the work that is running, by workspace.
    std::map<std::string, std::multiset<TimePoint>> running;
    store::StoreRevision inForce = 0;
    bool paused = false;
    bool leaving = false;
};

} // namespace cyclamenlatch::scenarios
