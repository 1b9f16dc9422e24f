// Acquires and renews the leader's lease.
#include "store/leaderlease.h"

#include <asio/post.hpp>

#include <utility>

namespace cyclamenlatch::store {

LeaderLease::LeaderLease(Strand strand, StoreClient &store, std::string key, std::string name,
                         std::function<void(bool)> onChange)
    : m_strand(std::move(strand))
    , m_store(store)
    , m_key(std::move(key))
    , m_name(std::move(name))
    , m_onChange(std::move(onChange))
    , m_timer(m_strand)
{}

void LeaderLease::start()
{
    asio::post(m_strand, [this] { tick(); });
}

void LeaderLease::stop()
{
    m_stopped = true;
    m_timer.cancel();
    if (m_held) {
        m_store.endLease(m_lease, [](const Result<void> &) {});
    }
}

void LeaderLease::tick()
{
    if (m_stopped) {
        return;
    }
    if (m_held && steadyNow() > m_trustedUntil) {
        setHeld(false);
    }
    if (!m_busy) {
        m_busy = true;
        m_held ? renew() : tryToLead();
    }
    m_timer.expires_after(retryInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void LeaderLease::tryToLead()
{
    m_store.get(m_key, [this](Result<std::optional<StoreItem>> item) {
        asio::post(m_strand, [this, isFree = item.has_value() && !item.value()] {
            if (!isFree || m_stopped) {
                m_busy = false;
                return;
            }
            m_store.grantLease(timeToLive, [this](Result<std::string> lease) {
                asio::post(m_strand, [this, lease = std::move(lease)] {
                    if (!lease || m_stopped) {
                        m_busy = false;
                        return;
                    }
                    acquire(lease.value());
                });
            });
        });
    });
}

void LeaderLease::acquire(const std::string &lease)
{
    const auto asked = steadyNow();
    m_store.compareAndSwap(
            {m_key, m_name, 0, lease}, [this, lease, asked](Result<StoreRevision> written) {
                asio::post(m_strand, [this, lease, asked, won = written.has_value()] {
                    m_busy = false;
                    if (!won) {
                        m_store.endLease(lease, [](const Result<void> &) {});
                        return;
                    }
                    m_lease = lease;
                    m_trustedUntil = asked + timeToLive;
                    setHeld(true);
                });
            });
}

void LeaderLease::renew()
{
    const auto asked = steadyNow();
    m_store.renewLease(m_lease, [this, asked](Result<void> renewed) {
        const bool lapsed = !renewed && renewed.error().kind == ErrorKind::NotFound;
        asio::post(m_strand, [this, asked, lapsed, isRenewed = renewed.has_value()] {
            m_busy = false;
            if (isRenewed) {
                m_trustedUntil = asked + timeToLive;
            } else if (lapsed) {
                setHeld(false);
            }
        });
    });
}

void LeaderLease::setHeld(bool held)
{
    if (m_held != held) {
        m_held = held;
        m_onChange(held);
    }
}

} // namespace cyclamenlatch::store
