// The watches of a server's open connections, by the connection's number.
// Lock order: m_mutex is the only lock and is never held while a watch is closed.
#pragma once

#include "net/connectionwatch.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace cyclamenlatch::net::detail {

class ConnectionWatches
{
public:
    std::shared_ptr<ConnectionWatch> find(std::uint64_t connection)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_watches.find(connection);
        return found == m_watches.end() ? nullptr : found->second;
    }

    void open(std::uint64_t connection)
    {
        const std::lock_guard lock(m_mutex);
        m_watches.emplace(connection, std::make_shared<ConnectionWatch>());
    }

    void close(std::uint64_t connection)
    {
        std::shared_ptr<ConnectionWatch> watch;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_watches.find(connection);
            if (found == m_watches.end()) {
                return;
            }
            watch = std::move(found->second);
            m_watches.erase(found);
        }
        watch->close();
    }

private:
    std::mutex m_mutex;
    // Guarded by m_mutex. Shared with the requests that the connection brought.
    std::unordered_map<std::uint64_t, std::shared_ptr<ConnectionWatch>> m_watches;
};

} // namespace cyclamenlatch::net::detail
