// One line of the platform's list of hosts.
#pragma once

#include "global/ids.h"

#include <string>

namespace cyclamenlatch::platform {

struct HostStatus
{
    WorkerId worker;
    // False while the host is down or reboots.
    bool live = false;
    // The last reboot that was finished; empty before the first.
    std::string finishedReboot;
    // Share of its processors in use, in [0, 1]; lags like the rest.
    double usage = 0;
};

} // namespace cyclamenlatch::platform
