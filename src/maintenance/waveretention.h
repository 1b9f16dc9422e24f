// Which records of finished waves have had their time.
#pragma once

#include "maintenance/maintenancerecords.h"
#include "store/storeitem.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace cyclamenlatch::maintenance {

struct RecordToRemove
{
    std::string key;
    // Removed only while it still has this revision.
    store::StoreRevision expected = 0;
};

// At most so many at a time. A wave's own record goes last, once no host's record and no claim of
// it is left, so that any leader can go on. A host that is set aside keeps its record, which keeps
// requests away from it, until it is back.
std::vector<RecordToRemove> recordsToRemove(const MaintenanceRecords &records, RecordTime now,
                                            std::chrono::milliseconds retention, std::size_t most);

} // namespace cyclamenlatch::maintenance
