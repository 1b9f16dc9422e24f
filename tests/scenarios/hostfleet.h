// The hosts of a scenario as they really are: which are up, which reboot, and the requests that
// entries have with them. It judges what waves and moves promise.
#pragma once

#include "fleet/fleetdocument.h"
#include "global/time.h"
#include "store/hoststatus.h"
#include "tests/scenarios/scenario.h"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::scenarios {

// One request that an entry has with a worker.
struct Flight
{
    EntryId entry;
    std::uint64_t incarnation = 0;
    WorkerId worker;
    // The pool that the entry sent it to.
    PoolId pool;
    TimePoint end;
};

class HostFleet
{
public:
    // Worker w-1 is in the first data centre and pool; data centres take turns.
    explicit HostFleet(const Scenario &scenario);

    const fleet::FleetDocument &document() const { return m_document; }
    bool knows(const WorkerId &worker) const { return m_hosts.contains(worker); }
    bool isUp(const WorkerId &worker) const { return m_hosts.at(worker).up; }
    // Since when it has been down; meaningful only while it is.
    TimePoint downSince(const WorkerId &worker) const { return m_hosts.at(worker).downSince; }

    // The host fails and comes back after a while; what runs on it ends.
    void fail(const WorkerId &worker, TimePoint now, Duration length);
    // Whether the host comes back from reboots; one that waits does so now.
    void setReturns(const WorkerId &worker, bool returns, TimePoint now);
    // Each attempt takes effect once. Returns what the reboot broke, if anything.
    std::optional<std::string> reboot(const WorkerId &worker, const std::string &attempt,
                                      TimePoint now);
    void tick(TimePoint now);
    std::vector<store::HostStatus> list() const;

    // Returns what is wrong with the request, if anything.
    std::optional<std::string> send(const Flight &flight);
    unsigned inFlight(const EntryId &entry, std::uint64_t incarnation,
                      const WorkerId &worker) const;
    // The entry's process has ended: nobody waits for its requests any more.
    void drop(const EntryId &entry, std::uint64_t incarnation);

    // Reboots of the wave.
    unsigned reboots(const std::string &wave) const;

private:
    struct Host
    {
        bool up = true;
        bool returns = true;
        TimePoint downSince;
        TimePoint downUntil;
        // The attempt under way.
        std::string rebooting;
        std::string finishedReboot;
    };

    fleet::FleetDocument m_document;
    std::map<WorkerId, Host> m_hosts;
    std::set<std::string> m_attempts;
    std::list<Flight> m_flights;
};

} // namespace cyclamenlatch::scenarios
