// Reboots hosts and publishes the lagging list.
#include "standins/platform/hostmodel.h"

namespace cyclamenlatch::standins {

void HostModel::setHost(const std::string &name, const std::string &minion)
{
    auto &host = m_hosts[name];
    host.name = name;
    host.minion = minion;
}

bool HostModel::reboot(const std::string &name, const std::string &attempt, TimePoint now)
{
    if (!m_attempts.insert(attempt).second) {
        return false;
    }
    auto &host = m_hosts.at(name);
    host.live = false;
    host.runningAttempt = attempt;
    host.backAt = m_neverBack.contains(name) ? TimePoint::max() : now + m_rebootTime;
    ++host.reboots;
    return true;
}

std::vector<std::string> HostModel::advance(TimePoint now)
{
    std::vector<std::string> back;
    for (auto &[name, host] : m_hosts) {
        if (!host.live && host.backAt <= now) {
            host.live = true;
            host.finishedAttempt = host.runningAttempt;
            back.push_back(name);
        }
    }
    if (now - m_publishedAt >= m_lag) {
        m_published = current();
        m_publishedAt = now;
    }
    return back;
}

std::vector<Host> HostModel::current() const
{
    std::vector<Host> hosts;
    hosts.reserve(m_hosts.size());
    for (const auto &[name, host] : m_hosts) {
        hosts.push_back(host);
    }
    return hosts;
}

} // namespace cyclamenlatch::standins
