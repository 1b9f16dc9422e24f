// Judges hosts by list and probes.
#include "maintenance/hosthealth.h"

#include <algorithm>

namespace cyclamenlatch::maintenance {

void HostHealth::takeList(const std::vector<store::HostStatus> &hosts, TimePoint now)
{
    for (const auto &status : hosts) {
        auto &host = m_hosts[status.worker];
        host.listedLive = status.live;
        if (host.finishedReboot != status.finishedReboot) {
            host.finishedReboot = status.finishedReboot;
            host.rebootSeen = now;
        }
    }
}

void HostHealth::takeProbe(const WorkerId &worker, bool answered, TimePoint asked)
{
    auto &host = m_hosts[worker];
    if (answered) {
        host.failedProbes = 0;
        host.lastAnswered = std::max(host.lastAnswered, asked);
    } else {
        ++host.failedProbes;
    }
}

void HostHealth::fill(HostObservations &observed) const
{
    for (const auto &[worker, host] : m_hosts) {
        if (!host.isHealthy()) {
            observed.unhealthy.insert(worker);
        }
        if (!host.finishedReboot.empty()) {
            observed.finishedReboots.insert(host.finishedReboot);
        }
    }
}

} // namespace cyclamenlatch::maintenance
