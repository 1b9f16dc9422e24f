// Lists, then watches.
#include "control/keyfollower.h"

#include "control/clock.h"

#include <utility>

namespace cyclamenlatch::control {

namespace {

// After a failed call.
constexpr std::chrono::milliseconds retryPause{150};

} // namespace

KeyFollower::KeyFollower(asio::io_context &context, StoreLink &store, std::string prefix,
                         std::chrono::milliseconds wait, Listener listener)
    : m_store(store)
    , m_prefix(std::move(prefix))
    , m_wait(wait)
    , m_listener(std::move(listener))
    , m_timer(context)
{}

KeyFollower::~KeyFollower() = default;

void KeyFollower::start()
{
    list();
}

void KeyFollower::watchAnew()
{
    if (m_isWatching) {
        m_timer.cancel();
        watch();
    }
}

void KeyFollower::list()
{
    m_isWatching = false;
    m_store.list(m_prefix, [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (alive.expired()) {
            return;
        }
        if (reply.outcome != platform::StoreOutcome::Done) {
            return retry(true);
        }
        m_revision = reply.revision;
        m_listener(reply.items, reply.revision, true);
        if (!alive.expired()) {
            watch();
        }
    });
}

void KeyFollower::watch()
{
    m_isWatching = true;
    m_store.watch(m_prefix, m_revision, m_wait,
                  [this, number = ++m_watches, alive = std::weak_ptr(m_alive)](const auto &reply) {
                      if (alive.expired() || number != m_watches) {
                          return;
                      }
                      if (reply.outcome != platform::StoreOutcome::Done) {
                          return retry(reply.outcome == platform::StoreOutcome::HistoryGone);
                      }
                      m_revision = std::max(m_revision, reply.revision);
                      if (!reply.items.empty()) {
                          m_listener(reply.items, m_revision, false);
                      }
                      if (!alive.expired()) {
                          watch();
                      }
                  });
}

void KeyFollower::retry(bool withList)
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
