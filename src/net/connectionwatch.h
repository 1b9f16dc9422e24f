// Tells whoever works on a request that its caller's connection has closed.
// Lock order: m_mutex is the only lock and is never held while a callback runs.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

namespace cyclamenlatch::net {

// Requests that a client may have open on one connection.
inline constexpr std::size_t maxPipelinedRequests = 4;

class ConnectionWatch
{
public:
    using Callback = std::function<void()>;

    // The callback runs once when the connection closes, or now if it has closed. It may run
    // after its request has ended, and is dropped some requests later.
    void addCallback(Callback callback)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_closed) {
                // The place's last owner has ended: no more requests than places are open.
                m_callbacks[m_next++ % m_callbacks.size()] = std::move(callback);
                return;
            }
        }
        callback();
    }

    void close()
    {
        std::array<Callback, maxPipelinedRequests> callbacks;
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
            callbacks.swap(m_callbacks);
        }
        for (auto &callback : callbacks) {
            if (callback) {
                callback();
            }
        }
    }

private:
    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    bool m_closed = false;
    std::size_t m_next = 0;
    std::array<Callback, maxPipelinedRequests> m_callbacks;
};

} // namespace cyclamenlatch::net
