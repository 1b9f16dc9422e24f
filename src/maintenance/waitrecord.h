// The entries that the leader of a data centre waits for; stored at maintenance/waits/<dataCentre>.
#pragma once

#include "global/ids.h"
#include "maintenance/hostrecord.h"

#include <vector>

namespace cyclamenlatch::maintenance {

struct WaitRecord
{
    DataCentreId dataCentre;
    // Empty: it waits for nobody.
    std::vector<EntryId> entries;
    RecordTime since = 0;

    bool operator==(const WaitRecord &) const = default;
};

} // namespace cyclamenlatch::maintenance
