// Follows the keys under a prefix of the platform's store: the whole list first, then every change.
// When the store has dropped the history in between, it lists anew. Runs on the context's thread.
#pragma once

#include "control/platformstoreclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

class KeyWatcher
{
public:
    // isSnapshot: keys that are not among the items are gone, if their last change is not after the
    // revision.
    using Listener = std::function<void(const std::vector<platform::StoreItem> &items,
                                        platform::StoreRevision at, bool isSnapshot)>;

    // Each call waits at most this long for a change, which also bounds the time until a silent
    // connection is given up.
    KeyWatcher(asio::io_context &context, PlatformStoreClient &store, std::string prefix,
               std::chrono::milliseconds wait, Listener listener);
    ~KeyWatcher();
    KeyWatcher(const KeyWatcher &) = delete;
    KeyWatcher &operator=(const KeyWatcher &) = delete;

    void start();
    // A watch that was sent while the store was silent may never be answered: another one is sent
    // now, and that one no longer counts.
    void restartWatch();

private:
    void list();
    void watch();
    void retry(bool withList);

    PlatformStoreClient &m_store;
    const std::string m_prefix;
    const std::chrono::milliseconds m_wait;
    const Listener m_listener;
    asio::steady_timer m_timer;
    platform::StoreRevision m_revision = 0;
    bool m_isWatching = false;
    // Counts watches: only the last one counts.
    unsigned m_watches = 0;
    // Lives as long as this, for calls that end later.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
