// Everything that one planning pass looks at: the records of a wave and what is observed.
#pragma once

#include "fleet/fleetdocument.h"
#include "maintenance/budget.h"
#include "maintenance/hostrecord.h"
#include "maintenance/ledgerrecord.h"
#include "maintenance/versioned.h"
#include "maintenance/waverecord.h"

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace cyclamenlatch::maintenance {

// What the planning entry sees of the hosts of its data centre.
struct HostObservations
{
    // Workers that do not serve: they fail probes, or the platform lists them as not live.
    std::unordered_set<WorkerId> unhealthy;
    // Workers for which every entry that might send has just confirmed the leaving mark of the
    // record's revision, with nothing in flight and no connection open.
    std::unordered_map<WorkerId, store::StoreRevision> quiet;
    // Reboot attempts that the platform reports as finished.
    std::unordered_set<std::string> finishedReboots;
};

struct WaveView
{
    // The planning entry leads this data centre and touches only its hosts.
    DataCentreId dataCentre;
    Versioned<WaveRecord> wave;
    std::unordered_map<WorkerId, Versioned<HostRecord>> hosts;
    // By budget name.
    std::unordered_map<std::string, Versioned<LedgerRecord>> ledgers;
    // Where each worker of the fleet is; a host that is not in it has left the fleet.
    std::unordered_map<WorkerId, DataCentreId> placement;
    BudgetTable budgets;
    HostObservations observed;
};

} // namespace cyclamenlatch::maintenance
