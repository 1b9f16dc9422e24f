// One line of the platform's list of hosts.
#pragma once

#include "global/ids.h"

#include <cstdint>
#include <string>

namespace cyclamenlatch::store {

struct HostStatus
{
    WorkerId worker;
    // False while the host is down or reboots.
    bool live = false;
    // The last reboot that was finished; empty before the first.
    std::string finishedReboot;
    // How often the platform has replaced the host by another under the same name. Never falls,
    // except in an old list.
    std::uint64_t replacements = 0;
    // Share of its processors in use, in [0, 1]; lags like the rest.
    double usage = 0;
};

} // namespace cyclamenlatch::store
