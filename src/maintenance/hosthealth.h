// What one leader knows of the health of hosts, from the platform's lagging list and from its
// own probes of minions. A probe that was answered before a reboot ended says nothing about
// the time after it.
#pragma once

#include "global/time.h"
#include "maintenance/waveview.h"
#include "store/hoststatus.h"

#include <unordered_map>
#include <vector>

namespace cyclamenlatch::maintenance {

class HostHealth
{
public:
    // So many failed probes in a row make a host unhealthy.
    static constexpr unsigned failuresToSuspect = 2;

    void takeList(const std::vector<store::HostStatus> &hosts, TimePoint now);
    // The host is probed from now on; hosts that are not are judged by the list alone.
    void noteProbed(const WorkerId &worker) { m_hosts[worker].probed = true; }
    void takeProbe(const WorkerId &worker, bool answered, TimePoint asked);

    // Fills in the unhealthy workers and the finished reboots.
    void fill(HostObservations &observed) const;

private:
    struct Host
    {
        bool listedLive = true;
        bool probed = false;
        std::string finishedReboot;
        // When finishedReboot was first seen.
        TimePoint rebootSeen;
        unsigned failedProbes = 0;
        // When the newest probe that was answered had been sent.
        TimePoint lastAnswered;

        bool isHealthy() const
        {
            const bool answeredSince =
                    !probed || finishedReboot.empty() || lastAnswered >= rebootSeen;
            return listedLive && answeredSince && failedProbes < failuresToSuspect;
        }
    };

    std::unordered_map<WorkerId, Host> m_hosts;
};

} // namespace cyclamenlatch::maintenance
