// How often a leader looks and asks.
#pragma once

#include "global/ids.h"

#include <chrono>

namespace cyclamenlatch::maintenance {

struct MaintenanceSettings
{
    EntryId entry;
    DataCentreId dataCentre;
    // Between two planning passes while a wave is under way.
    std::chrono::milliseconds tick{200};
    std::chrono::milliseconds hostListInterval{400};
    // Hosts under way are probed this often, the others of the wave's budgets a tenth as often.
    std::chrono::milliseconds probeInterval{400};
    std::chrono::milliseconds probeTimeout{1000};
    std::chrono::milliseconds rebootRetryInterval{1000};
    // Operators are told whom a wave waits for after this.
    std::chrono::milliseconds waitToTell{5000};
    // Records of a wave are removed this long after it has finished.
    std::chrono::hours retention{7 * 24};
    std::chrono::milliseconds removalInterval{60000};
    std::chrono::milliseconds watchWait{10000};
    std::chrono::milliseconds watchRetryInterval{500};
};

} // namespace cyclamenlatch::maintenance
