// Reads a TLS identity's files again at intervals.
// Lock order: m_mutex, then the identity's.
#pragma once

#include "net/internal/tlsidentity.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <utility>

namespace cyclamenlatch::net::detail {

class TlsReload : public std::enable_shared_from_this<TlsReload>
{
public:
    TlsReload(asio::io_context &context, std::shared_ptr<TlsIdentity> identity,
              std::chrono::milliseconds interval)
        : m_identity(std::move(identity))
        , m_interval(interval)
        , m_timer(context)
    {}

    void start()
    {
        const std::lock_guard lock(m_mutex);
        wait();
    }

    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        m_timer.cancel();
    }

private:
    void wait()
    {
        m_timer.expires_after(m_interval);
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->reload();
            }
        });
    }

    void reload()
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        m_identity->reload();
        wait();
    }

    const std::shared_ptr<TlsIdentity> m_identity;
    const std::chrono::milliseconds m_interval;
    std::mutex m_mutex;
    // Both guarded by m_mutex.
    asio::steady_timer m_timer;
    bool m_stopped = false;
};

} // namespace cyclamenlatch::net::detail
