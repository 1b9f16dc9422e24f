// The open connections of an HTTP client by host, so that they can be counted and closed.
// Lock order: m_mutex is the only lock and is never held over a call to the outside.
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::net::detail {

class ConnectionTable
{
public:
    void add(int socket, const std::string &host)
    {
        const std::lock_guard lock(m_mutex);
        m_hosts[socket] = host;
        ++m_counts[host];
    }

    void remove(int socket)
    {
        const std::lock_guard lock(m_mutex);
        forget(socket);
    }

    std::size_t count(const std::string &host) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_counts.find(host);
        return found == m_counts.end() ? 0 : found->second;
    }

    // Forgets the host's connections and returns their sockets.
    std::vector<int> take(const std::string &host)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<int> sockets;
        for (const auto &[socket, owner] : m_hosts) {
            if (owner == host) {
                sockets.push_back(socket);
            }
        }
        for (const int socket : sockets) {
            forget(socket);
        }
        return sockets;
    }

private:
    void forget(int socket)
    {
        const auto found = m_hosts.find(socket);
        if (found == m_hosts.end()) {
            return;
        }
        const auto count = m_counts.find(found->second);
        if (--count->second == 0) {
            m_counts.erase(count);
        }
        m_hosts.erase(found);
    }

    mutable std::mutex m_mutex;
    // Guarded by m_mutex. Invariant: m_counts holds how often each host is in m_hosts.
    std::unordered_map<int, std::string> m_hosts;
    std::unordered_map<std::string, std::size_t> m_counts;
};

} // namespace cyclamenlatch::net::detail
