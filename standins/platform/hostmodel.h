// The platform's hosts as a state machine: reboots that take a time, an attempt that runs at most
// once, and a published list that lags. Time is passed in.
#pragma once

#include "global/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::standins {

struct Host
{
    std::string name;
    // Address of its minion, as "http://address:port".
    std::string minion;
    bool live = true;
    std::string runningAttempt;
    std::string finishedAttempt;
    unsigned reboots = 0;
    // How often another machine has taken the host's name.
    unsigned replacements = 0;
    TimePoint backAt;
};

class HostModel
{
public:
    void setHost(const std::string &name, const std::string &minion);
    void setRebootTime(Duration time) { m_rebootTime = time; }
    void setLag(Duration lag) { m_lag = lag; }
    void replaceHost(const std::string &name) { ++m_hosts[name].replacements; }
    // A host that never comes back from its next reboot.
    void setNeverBack(const std::string &name) { m_neverBack.insert(name); }

    bool contains(const std::string &name) const { return m_hosts.contains(name); }
    const Host &host(const std::string &name) const { return m_hosts.at(name); }
    // Returns whether the reboot starts now; an attempt that was asked for before doesn't.
    bool reboot(const std::string &name, const std::string &attempt, TimePoint now);
    // Returns the hosts that have come back.
    std::vector<std::string> advance(TimePoint now);
    // The hosts as they were published last.
    const std::vector<Host> &published() const { return m_published; }
    std::vector<Host> current() const;

private:
    Duration m_rebootTime = std::chrono::seconds(1);
    Duration m_lag = std::chrono::milliseconds(200);
    std::map<std::string, Host> m_hosts;
    std::set<std::string> m_attempts;
    std::set<std::string> m_neverBack;
    std::vector<Host> m_published;
    TimePoint m_publishedAt;
};

} // namespace cyclamenlatch::standins
