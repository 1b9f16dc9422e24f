// Settings of an entry, decoded from the settings file that the users' platform provides.
#pragma once

#include "global/result.h"
#include "net/httpserversettings.h"
#include "scheduling/schedulingfeature.h"

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
    // First of the ports that the platform leaves to the entry for its own use; 0 if there is none.
    std::uint16_t metricsPort = 0;
    // "address:port" of the platform's services; empty if the platform has no such service.
    std::string storeAddress;
    std::string hostApiAddress;
    std::string adviceAddress;
    // Limits on the calls per second to hostApiAddress, shared by all entries.
    double hostReadsPerSecond = 10;
    double hostOrdersPerSecond = 10;

    // Processor time that this entry may use, in cores.
    double cores = 1;
    // Memory that this entry may use.
    std::size_t memoryBytes = std::size_t{256} * 1024 * 1024;
    // Maximum number of file descriptors that this entry may have open.
    std::size_t maxFileDescriptors = 4096;

    // Time from SIGTERM until the platform kills the process.
    std::chrono::milliseconds terminationGracePeriod{6000};
    // Longest lease that the platform lets an owner give to runs.
    std::chrono::milliseconds maxRunLease{10000};
    // Maximum time that stopping a task takes.
    std::chrono::milliseconds stopTimeout{200};
    // Minimum time between orders of two different holders for the same host.
    std::chrono::milliseconds holderCooldown{3000};
    // Time from the order for a host's maintenance until its new target is up.
    std::chrono::milliseconds maintenanceDuration{2000};
    // Minimum time for which the phase of an ended job can still be queried.
    std::chrono::seconds endedJobRetention{120};
    // Factor by which tasks take longer away from the rack of their data.
    double remoteSlowdownFactor = 1.5;

    // Not in the file, but set by flags of the command line.
    std::size_t maxRunTimeKinds = 2000;
    // Of callers, instead of what follows from memoryBytes and maxFileDescriptors; 0: that.
    std::size_t maxCallerConnections = 0;
    std::size_t maxCallerHeldBytes = 0;
    std::chrono::milliseconds callerStallTimeout{10000};
    scheduling::SchedulingFeatures disabled;
};

// Fail with InvalidInput and a message that names the missing or malformed field, readEntrySettings
// also with NotFound when the file can't be read. Unknown fields are ignored.
Result<EntrySettings> readEntrySettings(const std::string &path);
Result<EntrySettings> parseEntrySettings(const std::string &text);

} // namespace cyclamenlatch::platform
