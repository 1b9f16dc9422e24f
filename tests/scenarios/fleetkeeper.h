// What one life of an entry knows of waves and pools: the real decision code and its inputs.
#pragma once

#include "capacity/workerassignment.h"
#include "maintenance/hosthealth.h"
#include "maintenance/leavingmarks.h"
#include "maintenance/maintenancerecords.h"
#include "maintenance/quietcollector.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace cyclamenlatch::scenarios {

struct FleetKeeper
{
    maintenance::MaintenanceRecords records;
    maintenance::HostHealth health;
    maintenance::LeavingMarks marks;
    // By scope.
    std::map<std::string, maintenance::QuietCollector> collectors;
    std::unordered_map<WorkerId, capacity::VersionedAssignment> assignments;
    // Of the store when the assignments were read; 0 before that.
    store::StoreRevision assignmentsRevision = 0;
    // By scope: until when this life trusts its lease.
    std::map<std::string, TimePoint> leadsUntil;
    // Keys with a write under way, and the revision of the last write of each.
    std::set<std::string> writing;
    std::map<std::string, store::StoreRevision> written;
    // When each reboot was last asked for.
    std::map<std::string, TimePoint> rebootAsked;
};

} // namespace cyclamenlatch::scenarios
