// The settings file of a process on the users' platform, decoded.
#pragma once

#include "global/result.h"
#include "net/httpserversettings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cyclamenlatch::platform {

struct EntrySettings
{
    std::string name;
    std::string dataCentre;
    std::string listenAddress;
    // Ports on listenAddress where callers and the platform's readiness checks connect.
    std::uint16_t callerPort = 0;
    std::uint16_t readinessPort = 0;
    // First of the ports that are free for the entry's own use; 0: there is none.
    std::uint16_t metricsPort = 0;
    // "address:port" of the platform's services; empty where there is none.
    std::string storeAddress;
    std::string hostApiAddress;
    std::string adviceAddress;
    // Calls to hostApiAddress that all entries together may make in a second.
    double hostReadsPerSecond = 10;
    double hostOrdersPerSecond = 10;

    // Processors that this entry may use, in cores.
    double cores = 1;
    // File descriptors that this entry may have open.
    std::size_t maxFileDescriptors = 4096;

    // After a SIGTERM the process is killed when this has passed.
    std::chrono::milliseconds terminationGracePeriod{6000};
    std::chrono::milliseconds maxRunLease{10000};
    std::chrono::milliseconds stopTimeout{200};
    // Holders of orders for one machine may not take turns within this time.
    std::chrono::milliseconds holderCooldown{3000};
    // From an upkeep's order to the new target.
    std::chrono::milliseconds maintenanceDuration{2000};
    // Ended jobs are shown at least this long.
    std::chrono::seconds endedJobRetention{120};
    double remoteSlowdownFactor = 1.5;
};

// Fails with what is missing or malformed. Fields that are not known are passed over.
Result<EntrySettings> readEntrySettings(const std::string &path);
Result<EntrySettings> parseEntrySettings(const std::string &text);

} // namespace cyclamenlatch::platform
