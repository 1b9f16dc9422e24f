// Lists the keys, then watches them.
#include "control/keywatcher.h"

#include "control/clock.h"

#include <utility>

namespace cyclamenlatch::control {

namespace {

// Pause after a failed call.
constexpr std::chrono::milliseconds retryPause{150};

} // namespace

KeyWatcher::KeyWatcher(asio::io_context &context, PlatformStoreClient &store, std::string prefix,
                       std::chrono::milliseconds wait, Listener listener)
    : m_store(store)
    , m_prefix(std::move(prefix))
    , m_wait(wait)
    , m_listener(std::move(listener))
    , m_timer(context)
{}

KeyWatcher::~KeyWatcher() = default;

void KeyWatcher::start()
{
    list();
}

void KeyWatcher::restartWatch()
{
    if (m_isWatching) {
        m_timer.cancel();
        watch(true);
    }
}

void KeyWatcher::list()
{
    m_isWatching = false;
    m_store.list(m_prefix, [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (alive.expired()) {
            return;
        }
        if (reply.outcome != platform::StoreOutcome::Done) {
            return retryLater(true);
        }
        m_revision = reply.revision;
        m_listener(reply.items, reply.revision, true);
        if (!alive.expired()) {
            watch();
        }
    });
}

void KeyWatcher::watch(bool onNewConnection)
{
    m_isWatching = true;
    m_store.watch(
            m_prefix, m_revision, m_wait,
            [this, number = ++m_watchNumber, alive = std::weak_ptr(m_alive)](const auto &reply) {
                if (alive.expired() || number != m_watchNumber) {
                    return;
                }
                if (reply.outcome != platform::StoreOutcome::Done) {
                    return retryLater(reply.outcome == platform::StoreOutcome::HistoryCompacted);
                }
                m_revision = std::max(m_revision, reply.revision);
                if (!reply.items.empty()) {
                    m_listener(reply.items, m_revision, false);
                }
                if (!alive.expired()) {
                    watch();
                }
            },
            onNewConnection);
}

void KeyWatcher::retryLater(bool withList)
{
    m_timer.expires_after(retryPause);
    m_timer.async_wait([this, withList, alive = std::weak_ptr(m_alive)](const auto &error) {
        if (error || alive.expired()) {
            return;
        }
        withList ? list() : watch();
    });
}

} // namespace cyclamenlatch::control
